"""Selects the events of a timeline that are shown."""

from collections.abc import Callable

from ..events.event import Event


def make_filter(
    request: str = "", group: str = "", instance: str = "", kind: str = ""
) -> Callable[[Event], bool]:
    """Return a function that returns whether an event is shown.

    Parameters
    ----------
    request, group, instance : str, default=""
        Value that the field of this name must have; empty for any.
    kind : str, default=""
        Only events of this kind, given as ``event``, ``part`` or ``part.event``;
        empty for all.
    """

    def matches(event: Event) -> bool:
        kinds = (event.event, event.part, f"{event.part}.{event.event}")
        return (
            request in ("", event.request)
            and group in ("", event.group)
            and instance in ("", event.instance)
            and (not kind or kind in kinds)
        )

    return matches
