"""Route of one session under the configuration in force."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..configuration.configuration import Configuration
from ..configuration.route_spec import RouteSpec
from .declarations import Declarations
from .group_service import GroupService
from .route_defaults import read_route_defaults
from .session_startup import Identity, find_route

WaitConfiguration = Callable[[timedelta], Awaitable[Configuration]]
FindService = Callable[[str], GroupService]


class RouteBinding:
    """Updates the route and the service of a session before each request.

    Parameters
    ----------
    identity : Identity
        User, database and application of the session.
    declarations : Declarations
        The session's declarations, to which the route's defaults are applied.
    wait_configuration : callable
        Waits until a configuration may be served and returns it, given a deadline
        on the monotonic clock; it usually returns at once.
    find_service : callable
        Returns the service of a group by its name.

    Attributes
    ----------
    route : RouteSpec or None
        Route of the latest request; None before the first ``refresh``.
    service : GroupService or None
        Service of the route's group; None before the first ``refresh``.
    """

    __slots__ = (
        "_configuration",
        "_declarations",
        "_find_service",
        "_identity",
        "_wait_configuration",
        "route",
        "service",
    )

    def __init__(
        self,
        identity: Identity,
        declarations: Declarations,
        wait_configuration: WaitConfiguration,
        find_service: FindService,
    ):
        self._identity = identity
        self._declarations = declarations
        self._find_service = find_service
        self._wait_configuration = wait_configuration
        self._configuration: Configuration | None = None
        self.route: RouteSpec | None = None
        self.service: GroupService | None = None

    async def refresh(self, deadline: timedelta) -> None:
        """Apply the configuration in force before a request.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE or ROUTE_REFUSED; later calls raise it again until a
            configuration admits the session.
        """
        configuration = await self._wait_configuration(deadline)
        if configuration is self._configuration:
            self.service = self._find_service(self.route.group)
            return
        route = find_route(self._identity, configuration)
        self.service = self._find_service(route.group)
        if self.route is not None and self.route.group != route.group:
            self._declarations.min_position = None  # a position in another group's log
        self.route = route
        self._declarations.apply_defaults(read_route_defaults(route, configuration))
        self._configuration = configuration
