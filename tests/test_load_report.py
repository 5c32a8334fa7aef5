"""The HTML report on load results."""

from xml.etree import ElementTree

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.load.load_result import LoadResult
from goldcrestpond.load.report import read_results, render_report

_RESULT = b"""{"scenario":"fail<over","seed":3,"duration_s":1.0,"acknowledged":10,
"lost":0,"doubled":0,"stale_reads":0,"not_run_but_ran":0,"unknown":2,"refused":1,
"replica_read_share":0.5,"failover_gap_ms":400.5,"p50_ms":2.0,"p99_ms":9.0,
"direct_p50_ms":1.0,"statements_per_s":20.0,"gaps_ms":[180.0,400.5],
"details":{"kill_gap_ms":400.5}}"""


def test_page_contains_every_result_and_plots(tmp_path):
    path = tmp_path / "results.json"
    path.write_bytes(_RESULT.replace(b"\n", b"") + b"\n" + _RESULT.replace(b"\n", b""))
    results = read_results([str(path)])
    assert_that(results, HasLength(2))
    page = render_report(results)
    assert_that(page, Contains("fail&lt;over"))
    assert_that(page.count("<td>400.5</td>"), Equals(4))
    svg = page[page.index("<svg") : page.index("</svg>") + len("</svg>")]
    ElementTree.fromstring(svg)
    assert_that(svg, Contains("failover gap (ms)"))
    assert_that(render_report(results), Equals(page))


def test_broken_promises_is_the_sum_of_violations():
    result = msgspec.json.decode(_RESULT, type=LoadResult)
    assert_that(result.broken_promises, Equals(0))
    result.lost = 2
    result.torn = 1
    assert_that(result.broken_promises, Equals(3))
