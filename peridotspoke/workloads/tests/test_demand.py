"""Tests of the demand that a pool tells under loads that rise and fall at once."""

import statistics

import pytest

from peridotspoke.workloads.demand import ArrivalRate
from peridotspoke.workloads.sizing import SizingRules
from peridotspoke.workloads.tests.peakmodel import Load, PeakModel


def note_evenly(arrivals, begin, end, rate, wait):
    """Note one processor-second at a time, as many a second as `rate` at its time."""
    now = begin
    while now < end:
        arrivals.note(1.0, now, wait)
        now += 1.0 / rate(now)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_rise_is_not_met_when_half_of_the_slack_is_over(seed):
    """Once machines for a first window have come, jobs wait for their share of it."""
    rules = SizingRules()
    model = PeakModel(Load(trickle=0.35))
    begin = rules.window + model.lead
    model.run(begin=-0.5, end=begin + 2.0, seed=seed)
    assert statistics.fmean(model.list_used(begin, begin + 2.0)) <= rules.slack_share


def test_a_forecast_meets_what_arrives_when_machines_come():
    """Less the time that jobs may wait for them."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    note_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (1.0 + now), wait=1.2)
    expected = 400.0 * (1.0 + 3.0 + 0.5)
    assert arrivals.forecast(3.0) == pytest.approx(expected, rel=0.1)


@pytest.mark.parametrize("wait", [2.5, float("inf")])
def test_jobs_that_may_wait_for_machines_are_not_anticipated(wait):
    """Their demand is what has arrived."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    note_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (1.0 + now), wait)
    assert arrivals.forecast(3.0) == arrivals.read(3.0)


def test_a_large_job_is_no_rise():
    """One job after a pause says nothing of more."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    arrivals.note(140.0, now=5.0, wait=0.6)
    assert arrivals.forecast(5.1) == arrivals.read(5.1) == 140.0


def test_a_falling_load_is_not_forecast_above_its_mean():
    """Machines go back as soon as without a forecast."""
    arrivals = ArrivalRate(window=1.0, lead=1.7)
    note_evenly(arrivals, 0.0, 3.0, lambda now: 400.0 * (4.0 - now), wait=0.6)
    assert arrivals.forecast(3.0) == arrivals.read(3.0)
