"""``goldcrestpond-timeline``: merges the event files of several processes."""

import sys
from pathlib import Path

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..timeline.causal_order import order_records
from ..timeline.event_filter import make_filter
from ..timeline.read_records import read_records
from ..timeline.record import Record
from ..timeline.render import render_json, render_text
from .run_program import run_commands

_RENDERERS = {"text": render_text, "json": render_json}


def timeline(
    *files: str,
    request: str = "",
    group: str = "",
    instance: str = "",
    kind: str = "",
    output: str = "text",
) -> None:
    """Merge event files and print their events in causal order.

    Lines that cannot be read are counted on standard error.

    Parameters
    ----------
    *files : str
        Event files, one or more.
    request : str, default=""
        Only events of this request.
    group : str, default=""
        Only events of this database group.
    instance : str, default=""
        Only events of this instance.
    kind : str, default=""
        Only events of this kind, given as ``event``, ``part`` or ``part.event``.
    output : str, default="text"
        ``text`` or ``json``.
    """
    if output not in _RENDERERS:
        raise _make_invalid_error(f"output must be text or json, not {output!r}")
    if not files:
        raise _make_invalid_error("no event file is given")
    is_shown = make_filter(str(request), str(group), str(instance), str(kind))
    render = _RENDERERS[output]
    for record in order_records(_read_files(files)):
        if is_shown(record.event):
            print(render(record.event))


def _read_files(files: tuple[str, ...]) -> list[Record]:
    records: list[Record] = []
    for name in files:
        try:
            lines = Path(str(name)).read_bytes().splitlines()
        except OSError as error:
            raise _make_invalid_error(f"{name}: {error.strerror}") from error
        file_records, unreadable_count = read_records(lines)
        records += file_records
        if unreadable_count:
            print(f"{name}: {unreadable_count} unreadable lines", file=sys.stderr)
    return records


def _make_invalid_error(detail: str) -> CodedError:
    return CodedError(ResultCode.SETTINGS_INVALID, detail)


def main() -> None:
    """Run the command line."""
    run_commands(timeline)
