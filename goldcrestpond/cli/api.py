"""``goldcrestpond-api``: serves the resource API to operators."""

import anyio

from ..api.api_settings import ApiSettings
from ..root.api import run_api
from ..root.logs import configure_logs
from ..settings.check_addresses import check_addresses
from ..settings.load import load_settings
from .run_program import run_commands, run_program


def api(settings: str, check: bool = False) -> None:
    """Serve the resource API until SIGTERM; print ``ready IP:PORT`` when it listens.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    check : bool, default=False
        Check the settings and exit.
    """
    loaded = load_settings(settings, ApiSettings)
    check_addresses(settings, loaded, "address", "platform")
    if check:
        print(f"{settings}: valid")
        return
    configure_logs("info")
    run_program(lambda: _serve(loaded))


async def _serve(settings: ApiSettings) -> None:
    async with run_api(settings) as listen_address:
        print(f"ready {listen_address}", flush=True)
        await anyio.sleep_forever()


def main() -> None:
    """Run the command line."""
    run_commands(api)
