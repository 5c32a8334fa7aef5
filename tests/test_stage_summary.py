"""Where the time of late statements went, from log lines."""

import json

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.cli.timeline import timeline
from goldcrestpond.timeline.stage_summary import summarize_stages


def _line(event="statement late", elapsed_ms=300, **stages):
    record = {"event": event, "elapsed_ms": elapsed_ms, "stages_ms": stages}
    return json.dumps(record).encode()


def test_stage_that_was_longest_most_often_comes_first():
    lines = [
        *(_line(relay=10, checkout=100 + n) for n in range(10)),
        _line("statement failed", proof=400),
        _line("pace begun"),
        b"not a line of a log",
        b'{"event":"statement late"}',
    ]
    summaries = summarize_stages(lines)
    assert_that(
        [each.stage for each in summaries],
        Equals(["checkout", "proof", "relay", "total"]),
    )
    checkout = summaries[0]
    assert_that((checkout.count, checkout.longest_count), Equals((10, 10)))
    assert_that(checkout.quantiles_ms, Equals((104, 108, 108)))


def test_command_reads_logs_with_what_stands_before_the_lines(tmp_path, capsys):
    path = tmp_path / "i1.log"
    path.write_bytes(b"  0.51 i1 " + _line(run=250) + b"\n")
    timeline("stages", str(path))
    shown = capsys.readouterr().out
    assert_that(shown.splitlines()[1].split(), Equals(["run", "1", "1", *["250"] * 3]))
    assert_that(shown, Contains("total"))
