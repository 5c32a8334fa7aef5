"""Actions that a pool requests from its caller."""

from .check_connection import CheckConnection
from .close_connection import CloseConnection
from .grant_connection import GrantConnection
from .open_connection import OpenConnection
from .probe_endpoint import ProbeEndpoint
from .refuse_request import RefuseRequest

PoolAction = (
    OpenConnection
    | CloseConnection
    | GrantConnection
    | RefuseRequest
    | CheckConnection
    | ProbeEndpoint
)
