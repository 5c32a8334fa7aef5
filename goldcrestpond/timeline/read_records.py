"""Reads the records of one event file."""

from collections.abc import Iterable

import msgspec

from ..events.event import Event
from .record import Record

_decoder = msgspec.json.Decoder(Event)


def read_records(lines: Iterable[bytes]) -> tuple[list[Record], int]:
    """Decode the JSON lines of one file, given in the order of writing.

    Parameters
    ----------
    lines : iterable of bytes
        Lines of the file; the last one may be incomplete after a crash.

    Returns
    -------
    tuple of (list of Record, int)
        The records, and the number of lines that could not be decoded.
    """
    records: list[Record] = []
    unreadable_count = 0
    runs: dict[str, int] = {}
    last_sequences: dict[str, int] = {}
    for line in lines:
        if not line.strip():
            continue
        try:
            event = _decoder.decode(line)
        except msgspec.DecodeError:
            unreadable_count += 1
            continue
        run = runs.setdefault(event.instance, 0)
        if event.sequence <= last_sequences.get(event.instance, 0):
            run += 1
            runs[event.instance] = run
        last_sequences[event.instance] = event.sequence
        records.append(Record(event, run))
    return records, unreadable_count
