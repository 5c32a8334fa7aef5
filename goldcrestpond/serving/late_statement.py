"""The log line of a statement that took longer than its latency objective."""

from datetime import timedelta

from .decision_log import DecisionLog
from .stage_times import StageTimes
from .statement import Statement


def log_late_statement(
    log: DecisionLog,
    statement: Statement,
    service: str,
    organisation: str,
    elapsed: timedelta,
    stages: StageTimes,
) -> None:
    """Log where the time of a late statement went at this instance.

    Where it ran elsewhere, that instance writes a line with the same request.
    """
    log.decision(
        "statement late",
        request=statement.request_id,
        kind=statement.kind.name,
        service=service,
        organisation=organisation,
        elapsed_ms=round(elapsed / timedelta(milliseconds=1)),
        stages_ms=stages.to_milliseconds(),
    )
