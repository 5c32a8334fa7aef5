"""The route of one session under the configuration in force."""

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
    """Follows the configuration between the requests of a session.

    Parameters
    ----------
    identity : Identity
        Who the session is.
    declarations : Declarations
        What it has declared; takes the route's defaults.
    wait_configuration : callable
        Returns the configuration once it may be served, at once as a rule,
        given a monotonic reading after which that is given up.
    find_service : callable
        Returns the service of a group by its name.

    Attributes
    ----------
    route : RouteSpec or None
        The route of the latest request; None before the first ``refresh``.
    service : GroupService or None
        The service of its group.
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
        """Take the configuration in force before a request.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE or ROUTE_REFUSED, also at each later request
            until a configuration admits the session again.
        """
        configuration = await self._wait_configuration(deadline)
        if configuration is self._configuration:
            self.service = self._find_service(self.route.group)
            return
        route = find_route(self._identity, configuration)
        self.service = self._find_service(route.group)
        if self.route is not None and self.route.group != route.group:
            self._declarations.min_position = None  # another group's log
        self.route = route
        self._declarations.take_defaults(read_route_defaults(route, configuration))
        self._configuration = configuration
