"""Tests of the waits that workspaces are told."""

import pytest

from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.readywork import list_timings
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.sharewaits import ShareInputs, compute_workspace_waits
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, make_job, make_ledger

WORK = Step(40, Need(1000, 100), 1.0)  # 40 processor-seconds
OTHER_ID = "00000000000000aa"


@pytest.fixture
def ledger():
    """Return a pool of 32 processors with work of two workspaces."""
    ledger = make_ledger("e1", "e2", "e3", "e4")
    ledger.add_job(JobProgress(make_job(WORK, workspace="limited")))
    ledger.add_job(JobProgress(make_job(WORK, job_id=OTHER_ID, workspace="other")))
    plan_runs(ledger, 0.0, WALL_EPOCH)
    return ledger


def compute_waits(ledger, limits):
    shares = ShareInputs({"limited": 1.0, "other": 1.0}, limits=limits)
    timings = list(list_timings(ledger, WALL_EPOCH))
    return compute_workspace_waits(ledger, timings, 32.0, shares)


@pytest.mark.parametrize("limit", [Need(cpu=2000), Need(memory=200)])
def test_a_workspace_waits_as_long_as_its_work_takes_at_its_limit(ledger, limit):
    """Guards against work that is accepted for a workspace whose limit is low.

    The pool has room for it, so that its share of the pool promises a short wait.
    """
    without, waits = (
        compute_waits(ledger, {}),
        compute_waits(ledger, {"limited": limit}),
    )
    assert without["limited"] == pytest.approx(80 / 32, abs=0.1)
    assert waits["limited"] == pytest.approx(40 / 2, abs=0.1)
    assert waits["other"] == without["other"]


def test_a_limit_that_the_work_does_not_reach_changes_no_wait(ledger):
    limits = {"limited": Need(64_000, 64_000)}
    assert compute_waits(ledger, limits) == compute_waits(ledger, {})
