"""Tests of the demand of a pool under loads that rise and fall within seconds."""

import statistics

import pytest

from peridotspoke.workloads.demand import ArrivalRate, estimate_demand
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.sizing import SizingRules
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, make_job, make_ledger
from peridotspoke.workloads.tests.peakmodel import Load, PeakModel


def record_evenly(arrivals, begin, end, rate, wait):
    """Record arrivals of one processor-second each at the rate `rate(now)`."""
    now = begin
    while now < end:
        arrivals.record(1.0, now, wait)
        now += 1.0 / rate(now)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_jobs_use_at_most_their_slack_share_on_average_in_a_rise(seed):
    """Guards against machines that arrive too late for a rising load.

    This holds once the machines for the first window of the rise have arrived.
    """
    rules = SizingRules()
    model = PeakModel(Load(base_rate=0.35))
    begin = rules.window + model.lead
    model.run(begin=-0.5, end=begin + 2.0, seed=seed)
    assert (
        statistics.fmean(model.list_slack_used(begin, begin + 2.0)) <= rules.slack_share
    )


def test_the_forecast_matches_the_rate_when_machines_arrive():
    """The time that jobs may wait for the machines is subtracted."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    record_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (1.0 + now), wait=1.2)
    expected = 400.0 * (1.0 + 3.0 + 0.5)
    assert arrivals.forecast(3.0) == pytest.approx(expected, rel=0.1)


@pytest.mark.parametrize("wait", [2.5, float("inf")])
def test_jobs_that_may_wait_for_machines_are_not_forecast(wait):
    """The demand is then the mean rate of arrivals."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    record_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (1.0 + now), wait)
    assert arrivals.forecast(3.0) == arrivals.compute_mean(3.0)


def test_a_single_large_job_is_not_a_rise():
    """One job after a pause does not predict further arrivals."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    arrivals.record(140.0, now=5.0, wait=0.6)
    assert arrivals.forecast(5.1) == arrivals.compute_mean(5.1) == 140.0


def test_a_falling_load_is_not_forecast_above_its_mean():
    """The forecast must not delay returning machines."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    record_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (4.0 - now), wait=0.6)
    assert arrivals.forecast(3.0) == arrivals.compute_mean(3.0)


@pytest.fixture
def late_pool():
    """Return a ledger that runs a job's two tasks of 1 core, 30 s after it came."""
    ledger = make_ledger("e1")
    ledger.add_job(JobProgress(make_job()))
    plan_runs(ledger, 0.0, WALL_EPOCH)
    return ledger


def estimate_at(ledger, now):
    timings = list_timings(ledger, WALL_EPOCH + now)
    return estimate_demand(ledger, timings, sum_ready(ledger), 0.0)


def test_what_runs_for_late_jobs_is_late_need(late_pool):
    """A late backlog must not keep machines that another pool lacks for work in time.

    Late jobs are started wherever there is room, so that their runs fill the pool.
    """
    in_time, late = estimate_at(late_pool, 0.1), estimate_at(late_pool, 30.0)
    assert (in_time.cores, in_time.late_cores) == (pytest.approx(2.0), 0.0)
    assert (late.cores, late.late_cores) == (0.0, pytest.approx(2.0))
