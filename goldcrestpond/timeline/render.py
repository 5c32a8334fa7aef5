"""Renders an event as a line."""

import msgspec

from ..events.event import Event


def render_text(event: Event) -> str:
    """Return an event as a readable line of text."""
    wall_time = event.wall_time.isoformat(timespec="milliseconds")
    heading = (
        f"{wall_time} {event.instance}:{event.sequence} {event.part}.{event.event}"
    )
    optional_fields = {
        "request": event.request,
        "group": event.group,
        "after": event.after,
    }
    details = {
        key: value for key, value in optional_fields.items() if value
    } | event.detail
    return " ".join([heading, *(f"{key}={value}" for key, value in details.items())])


def render_json(event: Event) -> str:
    """Return an event as a line of JSON, as it was recorded."""
    return msgspec.json.encode(event).decode()
