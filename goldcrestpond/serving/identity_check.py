"""Decides for which organisation a caller acts."""

from collections.abc import Callable
from datetime import timedelta

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .bounded_labels import BoundedLabels
from .decision_log import DecisionLog
from .metrics import Metrics
from .organisation import Organisation
from .proven_age import ProvenAge
from .route import Route
from .route_table import RouteTable

# Organisations that have counters of their own on an instance.
ORGANISATION_LABEL_COUNT = 100


class IdentityCheck:
    """Finds the organisation of a key in the configuration in force.

    Parameters
    ----------
    get_table : callable
        Returns the configuration in force.
    proof : ProvenAge
        Whether the configuration is young enough to tell which keys are in use.
    log : DecisionLog
        Receives a line when the configuration ceases, or begins again, to be proven.
    metrics : Metrics
        Counts decisions by organisation.
    """

    __slots__ = (
        "_get_table",
        "_is_proven",
        "_labels",
        "_log",
        "_metrics",
        "_proof",
        "_unproven_count",
    )

    def __init__(
        self,
        get_table: Callable[[], RouteTable],
        proof: ProvenAge,
        log: DecisionLog,
        metrics: Metrics,
    ):
        self._get_table = get_table
        self._proof = proof
        self._log = log
        self._metrics = metrics
        self._labels = BoundedLabels(ORGANISATION_LABEL_COUNT)
        self._is_proven = True
        self._unproven_count = 0

    def identify(self, route: Route, key_digest: bytes) -> Organisation | None:
        """Return the organisation for which a caller of a route acts.

        Parameters
        ----------
        route : Route
            Route of the caller's database.
        key_digest : bytes
            Digest of the caller's key.

        Returns
        -------
        Organisation or None
            None if the configuration has no organisations, or the route is open and
            the key is not proven to be an organisation's.

        Raises
        ------
        CodedError
            IDENTITY_UNPROVEN if the route needs a key and the configuration is too old
            to tell whose it is; AUTHENTICATION_FAILED if no organisation has the key.
        """
        table = self._get_table()
        if table.organisations is None:
            return None
        organisation = table.organisations.find(key_digest)
        is_proven = self._observe_proof(organisation)
        if route.is_open:
            return organisation if is_proven else None
        if not is_proven:
            self._unproven_count += 1
            self._count(organisation, "unproven")
            raise CodedError(ResultCode.IDENTITY_UNPROVEN, self._describe())
        if organisation is None:
            self._count(organisation, "refused")
            detail = f"no organisation has this key in version {table.version}"
            raise CodedError(ResultCode.AUTHENTICATION_FAILED, detail)
        self._count(organisation, "admitted")
        return organisation

    def log_refusal(self, session: str, database: str, organisation: str) -> None:
        """Log that a session's key was refused.

        Parameters
        ----------
        session : str
            The session.
        database : str
            Name of the database that it asked for.
        organisation : str
            Organisation that had the key when the session last used it; empty if the
            session never used it.
        """
        self._log.decision(
            "key refused",
            session=session,
            database=database,
            organisation=organisation,
            version=self._get_table().version,
            age_ms=_to_ms(self._proof.age()),
        )

    def _observe_proof(self, organisation: Organisation | None) -> bool:
        is_proven = self._proof.is_proven()
        if is_proven != self._is_proven:
            self._is_proven = is_proven
            self._log.decision(
                "identity regained" if is_proven else "identity unproven",
                organisation="" if organisation is None else organisation.name,
                version=self._get_table().version,
                age_ms=_to_ms(self._proof.age()),
                limit_ms=_to_ms(self._proof.limit),
                refused_count=self._unproven_count,
            )
            self._unproven_count = 0
        return is_proven

    def _describe(self) -> str:
        age_ms, limit_ms = _to_ms(self._proof.age()), _to_ms(self._proof.limit)
        version = self._get_table().version
        age = "of unknown age" if age_ms is None else f"{age_ms} ms old"
        return f"version {version} is {age}, which is not below {limit_ms} ms"

    def _count(self, organisation: Organisation | None, outcome: str) -> None:
        name = "" if organisation is None else organisation.name
        label = self._labels.label(name)
        self._metrics.count("identity_total", organisation=label, outcome=outcome)


def _to_ms(span: timedelta | None) -> int | None:
    return None if span is None else span // timedelta(milliseconds=1)
