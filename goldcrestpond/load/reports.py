"""Auditors' long reports beside the pumps."""

import random
from collections.abc import Sequence

import anyio
import psycopg

from ..root.local_site import LocalSite
from ..settings.address import Address
from . import fuel_log
from .caller_link import CallerLink
from .load_run import LoadRun
from .told import number_of

_AUDITORS = 2
_STATEMENTS_EACH = 4  # together more than the slots of a database
_REPORT_S = 0.5


def make_reports(duration_s: float):
    """Return a script: half of the time without reports, half with them."""

    async def report(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
        addresses = [proxy.address for proxy in site.proxies]
        await anyio.sleep(duration_s * 0.1)
        run.start_phase()
        await anyio.sleep(duration_s * 0.4)
        run.end_phase("quiet")
        run.details["reports"] = 0
        async with anyio.create_task_group() as tasks:
            for index in range(_AUDITORS * _STATEMENTS_EACH):
                own = random.Random(rng.random())
                tasks.start_soon(_report, addresses, index % 2 == 0, run, own)
            await anyio.sleep(duration_s * 0.1)
            run.start_phase()
            await anyio.sleep(duration_s * 0.35)
            run.end_phase("reports")
            quiet_ms = run.details["quiet_p99_ms"]
            ratio = run.details["reports_p99_ms"] / quiet_ms if quiet_ms else 0.0
            run.details["p99_ratio"] = ratio
            tasks.cancel_scope.cancel()

    return report


async def _report(
    addresses: Sequence[Address],
    is_declared: bool,
    run: LoadRun,
    rng: random.Random,
) -> None:
    parameters = {"goldcrestpond.lane": "report"}
    if is_declared:
        parameters["default_transaction_read_only"] = "on"
    link = CallerLink(addresses, "fuel", rng, parameters)
    while not run.is_over:
        try:
            connection = await link.ready()
            await connection.execute(fuel_log.REPORT, (_REPORT_S,))
            run.details["reports"] += 1
        except psycopg.Error as error:
            run.refuse(number_of(error))
            await link.leave()
            await anyio.sleep(_REPORT_S / 10)
    await link.leave()
