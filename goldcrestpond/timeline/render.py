"""Shows an event as a line."""

import msgspec

from ..events.event import Event


def render_text(event: Event) -> str:
    """Return an event as text for people."""
    wall_time = event.wall_time.isoformat(timespec="milliseconds")
    head = f"{wall_time} {event.instance}:{event.sequence} {event.part}.{event.event}"
    named = {"request": event.request, "group": event.group, "after": event.after}
    facts = {key: value for key, value in named.items() if value} | event.detail
    return " ".join([head, *(f"{key}={value}" for key, value in facts.items())])


def render_json(event: Event) -> str:
    """Return an event as a JSON line, as it was recorded."""
    return msgspec.json.encode(event).decode()
