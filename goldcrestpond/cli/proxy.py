"""``goldcrestpond-proxy``: accepts callers and serves them from endpoints."""

import anyio
import fire

from ..root.logs import configure_logs
from ..root.proxy import run_proxy
from ..settings.load import load_settings
from ..settings.proxy_settings import ProxySettings
from .run_program import run_program


def proxy(settings: str, check: bool = False) -> None:
    """Run a proxy until SIGTERM; prints ``ready IP:PORT`` when it accepts callers.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    check : bool, default=False
        Only check the settings.
    """
    loaded = load_settings(settings, ProxySettings)
    if check:
        print(f"{settings}: valid")
        return
    configure_logs(loaded.log_level)
    run_program(lambda: _serve(loaded))


async def _serve(settings: ProxySettings) -> None:
    async with run_proxy(settings) as running:
        print(f"ready {running.address}", flush=True)
        await anyio.sleep_forever()


def main() -> None:
    """Run the command line."""
    fire.Fire(proxy)
