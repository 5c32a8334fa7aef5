"""``goldcrestpond-proxy``: runs a proxy between callers and databases."""

import signal

import anyio

from ..errors.coded_error import CodedError
from ..root.caller_access import make_caller_access
from ..root.logs import configure_logs
from ..root.proxy import run_proxy
from ..settings.check_addresses import check_addresses
from ..settings.load import load_settings
from ..settings.proxy_settings import ProxySettings
from .run_program import run_commands, run_program

# Time that a starting proxy waits for a configuration from the platform or its peers;
# after it the proxy reports that it is ready even without one.
_CONFIGURATION_TIMEOUT_S = 5
_ADDRESS_KEYS = (
    "listen",
    "platform",
    "peer_listen",
    "peer_seeds",
    "api_listen",
    "statsd",
)


def proxy(settings: str, check: bool = False) -> None:
    """Run a proxy; print ``ready IP:PORT`` when it accepts callers.

    SIGTERM shuts it down gracefully, and a further SIGTERM has no effect;
    SIGINT stops it at once.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    check : bool, default=False
        Check the settings and exit.
    """
    loaded = _load_checked_settings(settings)
    if check:
        print(f"{settings}: valid")
        return
    configure_logs(loaded.log_level)
    run_program(lambda: _serve(loaded), signal.SIGINT)


def _load_checked_settings(path: str) -> ProxySettings:
    settings = load_settings(path, ProxySettings)
    check_addresses(path, settings, *_ADDRESS_KEYS)
    try:
        make_caller_access(settings)
    except CodedError as error:
        raise CodedError(error.code, f"{path}: {error.detail}") from error
    return settings


async def _serve(settings: ProxySettings) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM) as received_signals:
        async with run_proxy(settings) as running:
            with anyio.move_on_after(_CONFIGURATION_TIMEOUT_S):
                await running.configuration.wait_revision(1)
            print(f"ready {running.address}", flush=True)
            await anext(received_signals)
            await running.shutdown.run()


def main() -> None:
    """Run the command line."""
    run_commands(proxy)
