"""All load scenarios by name."""

from ..configuration.route_spec import RouteSpec
from ..root.local_site_settings import LocalSiteSettings
from .configuration_changes import change_configuration
from .drains import drain_databases
from .failures import fail_primaries
from .fuel_log import SCHEMA
from .overload import make_overload
from .random_faults import make_random_faults
from .replica_lags import vary_replica_lags
from .reports import make_reports
from .resource_changes import make_resource_changes
from .scenario import Scenario
from .shutdowns import shut_proxies_down
from .silence import freeze_connections
from .store_outage import fail_without_store
from .workload import Workload

GROUP = "fuel"


def _palermo(**changes: object) -> LocalSiteSettings:
    """Return settings with the sizes and delays of the site in Palermo."""
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
    """Return settings with the sizes and delays of the Respuesta Austral site."""
    values = {
        "slot_limit": 3,
        "connection_limit": 40,
        "connection_delay_ms": 30.0,
        "receive_delay_ms": 0.5,
    }
    return _palermo(**(values | changes))


# Two thirds of the sessions only read, with a maximum age; the others write in 31% of
# their requests. That is nine reads to one write; three quarters of the reads have a
# maximum age.
_READ_MOSTLY = Workload(
    writer_count=10,
    planner_count=21,
    write_share=0.31,
    max_age_ms=1000,
    max_age_limit_ms=5000,
)


_NO_SESSIONS = Workload(writer_count=0, planner_count=0)
_OVERLOAD_ROUTE = RouteSpec(database=GROUP, group=GROUP, queue_timeout_ms=1000)


def make_scenarios(seed: int, duration_s: float) -> dict[str, Scenario]:
    """Return all scenarios for a seed and a duration of the load."""
    slow = _palermo(seed=seed, statement_delay_ms=40.0, routes={GROUP: _OVERLOAD_ROUTE})
    return {
        "failover": Scenario(_palermo(seed=seed), script=fail_primaries),
        "roam": Scenario(
            _palermo(seed=seed, replay_lag_ms=100.0), Workload(roam_share=0.5)
        ),
        "palermo": Scenario(_palermo(seed=seed)),
        "austral": Scenario(
            _austral(seed=seed), _READ_MOSTLY, script=vary_replica_lags
        ),
        "reports": Scenario(
            _palermo(seed=seed), script=make_reports(duration_s), ends_with_script=True
        ),
        "overload": Scenario(
            slow,
            _NO_SESSIONS,
            make_overload(duration_s),
            ends_with_script=True,
            measures_direct_writes=False,
        ),
        "silence": Scenario(_palermo(seed=seed), script=freeze_connections),
        "store": Scenario(_palermo(seed=seed), script=fail_without_store),
        "drain": Scenario(
            _palermo(seed=seed),
            script=drain_databases,
            ends_with_script=True,
            measures_direct_writes=False,
        ),
        "shutdown": Scenario(
            _palermo(seed=seed), script=shut_proxies_down, ends_with_script=True
        ),
        "configuration": Scenario(_palermo(seed=seed), script=change_configuration),
        "resources": Scenario(
            _palermo(seed=seed, proxy_count=8, api_port=0),
            _NO_SESSIONS,
            make_resource_changes(duration_s),
            ends_with_script=True,
            measures_direct_writes=False,
        ),
        "faults": Scenario(_palermo(seed=seed), script=make_random_faults(1)),
        "two_faults": Scenario(_palermo(seed=seed), script=make_random_faults(2)),
    }
