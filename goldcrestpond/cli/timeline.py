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
from ..timeline.stage_summary import render_stages, summarize_stages
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

    Lines that cannot be read are counted on standard error. With ``stages`` as the
    first argument, the log files that follow tell where the time of late statements
    went: ``goldcrestpond-timeline stages LOG...``.

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
    if files[0] == "stages":
        lines = (line for name in files[1:] for line in _read_lines(name))
        print(render_stages(summarize_stages(lines)))
        return
    is_shown = make_filter(str(request), str(group), str(instance), str(kind))
    render = _RENDERERS[output]
    for record in order_records(_read_files(files)):
        if is_shown(record.event):
            print(render(record.event))


def _read_files(files: tuple[str, ...]) -> list[Record]:
    records: list[Record] = []
    for name in files:
        file_records, unreadable_count = read_records(_read_lines(name))
        records += file_records
        if unreadable_count:
            print(f"{name}: {unreadable_count} unreadable lines", file=sys.stderr)
    return records


def _read_lines(name: str) -> list[bytes]:
    try:
        return Path(str(name)).read_bytes().splitlines()
    except OSError as error:
        raise _make_invalid_error(f"{name}: {error.strerror}") from error


def _make_invalid_error(detail: str) -> CodedError:
    return CodedError(ResultCode.SETTINGS_INVALID, detail)


def main() -> None:
    """Run the command line."""
    run_commands(timeline)
