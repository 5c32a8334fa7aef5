"""Rendering of metrics as text."""

from testtools.assertions import assert_that
from testtools.matchers import Contains

from goldcrestpond.serving.metrics import Metrics


def test_counters_gauges_and_latencies_are_rendered():
    metrics = Metrics(lambda: {"callers": 3})
    metrics.count("statements_total", kind="READ", code="ok")
    metrics.count("statements_total", kind="READ", code="ok")
    for elapsed_ms in (10, 10, 10, 400):
        metrics.observe_ms("read_latency", elapsed_ms)
    text = metrics.render().decode()
    assert_that(
        text, Contains('goldcrestpond_statements_total{kind="READ",code="ok"} 2\n')
    )
    assert_that(text, Contains("goldcrestpond_callers 3\n"))
    assert_that(text, Contains('goldcrestpond_read_latency_ms{quantile="0.5"} 10\n'))
    assert_that(text, Contains("goldcrestpond_read_latency_ms_count 4\n"))


def test_latency_beyond_the_histogram_limit_is_counted():
    metrics = Metrics()
    metrics.observe_ms("read_latency", 1e9)
    assert_that(metrics.render().decode(), Contains("latency_ms_count 1\n"))
