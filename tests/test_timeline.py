"""Tests of the timeline: causal order despite wrong clocks, filters and output."""

import json
import random
from datetime import UTC, datetime, timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from goldcrestpond.cli.timeline import timeline
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.events.event import Event
from goldcrestpond.timeline.causal_order import order_records
from goldcrestpond.timeline.event_filter import make_filter
from goldcrestpond.timeline.read_records import read_records

_START = datetime(2026, 1, 1, tzinfo=UTC)


@st.composite
def _histories(draw):
    """Draw events in causal order, by clocks that are wrong by up to an hour."""
    offsets = [draw(st.integers(-3600, 3600)) for _ in range(3)]
    sequences = [0, 0, 0]
    events = []
    for step in range(draw(st.integers(1, 25))):
        number = draw(st.integers(0, 2))
        sequences[number] += 1
        after = ""
        if events and draw(st.booleans()):
            cause = draw(st.sampled_from(events))
            after = f"{cause.instance}:{cause.sequence}"
        events.append(
            Event(
                _START + timedelta(seconds=offsets[number], milliseconds=step),
                f"proxy-{number}",
                "part",
                "event",
                sequences[number],
                after=after,
            )
        )
    return events


def _encode_lines(events):
    return [msgspec.json.encode(event) for event in events]


def _split_by_instance(events):
    names = {event.instance for event in events}
    return [[e for e in events if e.instance == name] for name in sorted(names)]


@given(_histories(), st.integers(0, 1000))
def test_each_event_comes_after_those_that_it_follows(events, seed):
    records = [
        r
        for part in _split_by_instance(events)
        for r in read_records(_encode_lines(part))[0]
    ]
    random.Random(seed).shuffle(records)
    ordered = [record.event for record in order_records(records)]
    assert_that(ordered, HasLength(len(events)))
    positions = {f"{e.instance}:{e.sequence}": n for n, e in enumerate(ordered)}
    for number, event in enumerate(ordered):
        if event.after:
            assert_that(number, GreaterThan(positions[event.after]))
        if event.sequence > 1:
            previous_position = positions[f"{event.instance}:{event.sequence - 1}"]
            assert_that(number, GreaterThan(previous_position))


@given(_histories(), st.randoms(use_true_random=False))
def test_events_with_a_damaged_after_are_kept(events, rng):
    names = [f"{event.instance}:{event.sequence}" for event in events]
    damaged = [
        msgspec.structs.replace(event, after=rng.choice([*names, "x:1", "no number"]))
        for event in events
    ]
    records = read_records(_encode_lines(damaged))[0]
    ordered = [record.event for record in order_records(records)]
    key = msgspec.json.encode
    assert_that(sorted(map(key, ordered)), Equals(sorted(map(key, damaged))))


def test_second_run_of_an_instance_follows_its_first():
    early = [Event(_START, "p", "root", "started", n) for n in (1, 2)]
    late = [
        Event(_START - timedelta(hours=1), "p", "root", "started again", n)
        for n in (1, 2)
    ]
    records = read_records(_encode_lines(early + late))[0]
    ordered = [record.event for record in order_records(records[::-1])]
    assert_that(ordered, Equals(early + late))


@given(st.lists(st.binary(max_size=30), max_size=5))
def test_unreadable_lines_are_counted(garbage):
    good = _encode_lines([Event(_START, "p", "root", "started", 1)])
    records, unreadable_count = read_records([*garbage, *good])
    expected = sum(bool(line.strip()) for line in garbage)
    assert_that(len(records) - 1 + unreadable_count, Equals(expected))


@pytest.mark.parametrize(
    ("options", "count"),
    [
        ({}, 3),
        ({"request": "r1"}, 1),
        ({"group": "fuel"}, 2),
        ({"instance": "p2"}, 1),
        ({"kind": "term"}, 2),
        ({"kind": "promoted"}, 1),
        ({"kind": "term.fenced"}, 1),
        ({"kind": "term.fenced", "instance": "p2"}, 0),
    ],
)
def test_filter_selects_events(options, count):
    events = [
        Event(_START, "p1", "term", "fenced", 1, group="fuel"),
        Event(_START, "p1", "term", "promoted", 2, group="fuel", request="r1"),
        Event(_START, "p2", "wire", "closed", 1),
    ]
    selected = list(filter(make_filter(**options), events))
    assert_that(selected, HasLength(count))


def test_command_prints_text_and_json(tmp_path, capsys):
    event = Event(_START, "p1", "term", "fenced", 7, group="fuel", detail={"term": "3"})
    path = tmp_path / "events.jsonl"
    path.write_bytes(msgspec.json.encode(event) + b'\n{"cut off')
    timeline(str(path))
    captured = capsys.readouterr()
    assert_that(captured.out, Contains("p1:7 term.fenced group=fuel term=3\n"))
    assert_that(captured.err, Contains("1 unreadable lines"))
    timeline(str(path), output="json")
    assert_that(json.loads(capsys.readouterr().out)["sequence"], Equals(7))


@pytest.mark.parametrize(
    ("files", "options"), [((), {}), (("/nonexistent",), {}), (("x",), {"output": "y"})]
)
def test_command_refuses_invalid_arguments_with_their_code(files, options):
    with pytest.raises(CodedError, match="GP602"):
        timeline(*files, **options)
