"""The scenarios by name."""

from ..root.local_site_settings import LocalSiteSettings
from .failures import fail_primaries
from .fuel_log import SCHEMA
from .scenario import Scenario
from .workload import Workload

GROUP = "fuel"


def _palermo(**changes: object) -> LocalSiteSettings:
    """Return a site of Palermo's sizes."""
    values = {
        "group": GROUP,
        "schema": SCHEMA,
        "proxy_count": 6,
        "slot_limit": 5,
        "connection_limit": 35,
        "connection_delay_ms": 10.0,
        "statement_delay_ms": 1.0,
        "receive_delay_ms": 1.0,
        "replay_lag_ms": 20.0,
    }
    return LocalSiteSettings(**(values | changes))


def _austral(**changes: object) -> LocalSiteSettings:
    """Return a site of Respuesta Austral's sizes."""
    values = {
        "slot_limit": 3,
        "connection_limit": 40,
        "connection_delay_ms": 30.0,
        "receive_delay_ms": 0.5,
    }
    return _palermo(**(values | changes))


_READ_MOSTLY = Workload(writer_count=10, planner_count=10, write_share=0.1)


def make_scenarios(seed: int) -> dict[str, Scenario]:
    """Return all scenarios for a seed."""
    return {
        "failover": Scenario(_palermo(seed=seed), script=fail_primaries),
        "roam": Scenario(
            _palermo(seed=seed, replay_lag_ms=100.0), Workload(roam_share=0.5)
        ),
        "palermo": Scenario(_palermo(seed=seed)),
        "austral": Scenario(_austral(seed=seed), _READ_MOSTLY),
    }
