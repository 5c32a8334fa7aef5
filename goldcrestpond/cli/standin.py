"""``goldcrestpond-standin``: runs stand-ins of platform and databases.

A stand-in is a server that keeps its data in memory and takes the place of the real
one in tests and demonstrations.
"""

import anyio

from ..clock.system_clock import SystemClock
from ..settings.address import parse_address
from ..settings.load import load_settings
from ..standin.database_group import run_database_group
from ..standin.database_group_settings import DatabaseGroupSettings
from ..standin.platform_settings import PlatformStandinSettings
from ..standin.platform_standin import run_platform as serve_platform
from .run_program import run_commands, run_program


def platform(settings: str) -> None:
    """Serve an in-memory platform until SIGTERM.

    Prints ``ready IP:PORT`` when it accepts requests.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    """
    loaded = load_settings(settings, PlatformStandinSettings)
    run_program(lambda: _serve_platform(loaded))


async def _serve_platform(settings: PlatformStandinSettings) -> None:
    address = parse_address(settings.address)
    instances = settings.instances
    lag = settings.instances_lag
    async with serve_platform(address, SystemClock(), instances, lag) as standin:
        print(f"ready {standin.address}", flush=True)
        await anyio.sleep_forever()


def database(settings: str) -> None:
    """Serve a group of in-memory databases until SIGTERM.

    Prints ``ready NAME=IP:PORT ...`` when all accept connections.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    """
    loaded = load_settings(settings, DatabaseGroupSettings)
    run_program(lambda: _serve_database_group(loaded))


async def _serve_database_group(settings: DatabaseGroupSettings) -> None:
    async with run_database_group(settings, SystemClock()) as group:
        addresses = [f"{server.name}={server.address}" for server in group.databases]
        print("ready", *addresses, flush=True)
        await anyio.sleep_forever()


def main() -> None:
    """Run the command line."""
    run_commands({"platform": platform, "database": database})
