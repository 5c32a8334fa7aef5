"""Short soaks of instance processes; seeds that once failed stay in the list."""

from pathlib import Path

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.soak.run_soak import run_soak
from goldcrestpond.soak.soak_plan import PlannedFault, SoakPlan, load_plan

PLANS = Path(__file__).parent / "plans"
# Each seed with the failure that it found.
SEEDS = [
    1,  # first seed; found no failure
]


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_breaks_no_guarantee(seed):
    report = anyio.run(run_soak, seed, 20.0, 3)
    assert_that(report.findings, Equals([]))
    assert_that(report.outcomes.get("COMPLETE", 0) > 0, Equals(True))


# Guards against: a plan with a misspelt name that seems to find nothing.
@pytest.mark.parametrize(
    "fault", [PlannedFault(kind="x"), PlannedFault(kind="crash_primary", service="x")]
)
def test_plan_with_an_unknown_name_is_refused(fault, tmp_path):
    plan = SoakPlan(faults=(fault,))
    with pytest.raises(ValueError):
        anyio.run(run_soak, 1, 1.0, 1, plan, str(tmp_path))


# Guards against: acknowledged commits that the old primary, back under a new id,
# acknowledges while its successor's promotion is pending (lost on lsv-archive).
def test_primary_that_returns_during_a_promotion_loses_no_commit():
    plan = load_plan(str(PLANS / "primary-returned.toml"))
    report = anyio.run(run_soak, 3, 14.0, 4, plan)
    assert_that(report.findings, Equals([]))
    assert_that(report.promotions > 0, Equals(True))


# Failure: acknowledged commits are lost while databases are replaced one after the
# other (8 of them on the code before, with this seed).
def test_releases_in_quick_succession_lose_no_commit():
    plan = load_plan(str(PLANS / "releases.toml"))
    report = anyio.run(run_soak, 1, 24.0, 8, plan)
    assert_that(report.findings, Equals([]))
    assert_that(report.promotions > 0, Equals(True))


# Failure: requests that a database got are cut by a planned stop, in long transactions
# (7 of them on the code before, with this seed).
def test_stops_cut_no_request_of_a_transaction():
    plan = load_plan(str(PLANS / "stops-in-transactions.toml"))
    report = anyio.run(run_soak, 2, 20.0, 4, plan)
    assert_that(report.findings, Equals([]))
    assert_that(report.outcomes.get("ABORTED", 0) > 0, Equals(True))


# Failure: a failover call without an answer is forgotten by the instance that claims
# the service next, and is carried out over later commits (228 on the code before, with
# this seed).
def test_claim_that_is_taken_over_loses_no_commit():
    plan = load_plan(str(PLANS / "claim-taken-over.toml"))
    report = anyio.run(run_soak, 2, 26.0, 4, plan)
    assert_that(report.findings, Equals([]))
    assert_that(report.faults.get("cut_candidate"), Equals(1))
