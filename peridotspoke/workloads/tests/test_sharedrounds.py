"""Tests of pools that are too small for what their workspaces send."""

import statistics

import pytest

from peridotspoke.workloads.admission import compute_cutoff, compute_retry_delay
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.quotarecords import QuotaRow
from peridotspoke.workloads.quotas import QuotaBook
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.sharedrounds import PoolShares
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_ledger
from peridotspoke.workloads.tests.sharemodel import (
    EXECUTOR_CORES,
    ShareModel,
    make_arrivals,
)

EXECUTORS = 20
CORES = EXECUTORS * EXECUTOR_CORES
TASK_S = 1.0  # duration of each task of `make_arrivals`
HOT = "w0"
OTHERS = tuple(f"w{number}" for number in range(1, 20))
WEIGHTS = dict.fromkeys((HOT, *OTHERS), 1.0)
ONE_CORE = Step(4, Need(1000, 100), TASK_S)


def replay(load, factor, seed, *, evenly, weights=WEIGHTS):
    """Run 20 workspaces that together need `load` of the pool for 12 s.

    From 3 s to 9 s the first one sends `factor` times as much.
    """
    rate = load * CORES / len(WEIGHTS)
    arrivals = [
        row
        for name in WEIGHTS
        for row in make_arrivals(name, rate, 0.0, 12.0, seed, evenly=evenly)
    ]
    if factor > 1:
        arrivals += make_arrivals(HOT, rate * (factor - 1), 3.0, 9.0, seed + 100)
    return ShareModel(EXECUTORS, weights).run(arrivals, 40.0)


@pytest.mark.parametrize("factor", [5, 6, 7])
@pytest.mark.parametrize("load", [0.95, 1.1])
def test_no_job_of_the_others_waits_for_a_workspace_that_sends_far_more(load, factor):
    """Guards against a burst of one workspace that delays everyone's jobs.

    The others send evenly, so that none is beyond its share by chance.
    """
    usual = replay(load, 1, factor, evenly=True)
    burst = replay(load, factor, factor, evenly=True)
    for name in OTHERS:
        assert len(burst.waits[name]) == len(usual.waits[name])
        assert max(burst.waits[name]) <= max(usual.waits[name]) + TASK_S


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("load", [0.9, 1.05])
def test_random_arrivals_of_the_others_wait_no_longer_on_average(load, seed):
    """The same with workspaces that are beyond their own share at times."""
    usual = replay(load, 1, seed, evenly=False)
    burst = replay(load, 5 + seed % 3, seed, evenly=False)
    for name in OTHERS:
        before = statistics.fmean(usual.waits[name])
        assert statistics.fmean(burst.waits[name]) <= before + TASK_S


@pytest.mark.parametrize("factor", [5, 7])
def test_a_workspace_that_sends_far_more_gets_all_that_the_others_leave(factor):
    """Guards against capacity that is kept free for workspaces that don't need it."""
    model = replay(0.5, factor, 1, evenly=True)
    assert model.idle_cores == 0.0
    usual, burst = 0.5 * CORES / 20, 0.5 * CORES / 20 * factor
    assert model.measure_rate(HOT, 5.0, 9.0) > 0.8 * burst > usual
    alone = ShareModel(EXECUTORS, WEIGHTS)
    alone.run(make_arrivals(HOT, 2 * CORES, 0.0, 6.0, 1), 20.0)
    assert alone.idle_cores == 0.0
    assert alone.measure_rate(HOT, 2.0, 6.0) == pytest.approx(CORES, rel=0.1)


def test_capacity_is_divided_by_weight():
    """Both workspaces send more than the whole pool; tasks end every second."""
    arrivals = [
        row
        for name in ("a", "b")
        for row in make_arrivals(name, 1.5 * CORES, 0.0, 8.0, 3)
    ]
    model = ShareModel(EXECUTORS, {"a": 1.0, "b": 3.0}).run(arrivals, 9.0)
    assert model.measure_rate("a", 3.0, 8.0) == pytest.approx(CORES / 4, rel=0.1)
    assert model.measure_rate("b", 3.0, 8.0) == pytest.approx(CORES * 3 / 4, rel=0.1)


def test_a_memory_bound_workspace_runs_beside_a_processor_bound_one():
    """Guards against shares by processors alone, which starve one of both.

    Each gets half of its own resource at least, as with a pool of its own of half the
    size, and both together more than one pool's worth of either.
    """
    executors = 4
    big = Step(1, Need(400, 16_000), TASK_S)
    small = Step(4, Need(800, 400), TASK_S)
    arrivals = make_arrivals("memory", 8.0, 0.0, 8.0, 1, step=big, evenly=True)
    arrivals += make_arrivals("cpu", 96.0, 0.0, 8.0, 1, step=small, evenly=True)
    model = ShareModel(executors, {"memory": 1.0, "cpu": 1.0}).run(arrivals, 9.0)
    # Alone, one has 16 places of 16,000 MB, the other 32 cores. Divisible tasks would
    # have 0.83 of these each; whole ones leave memory and processors that don't match.
    memory = model.measure_rate("memory", 2.0, 8.0) / 0.4 / (executors * 4)
    cores = model.measure_rate("cpu", 2.0, 8.0) / (executors * EXECUTOR_CORES)
    assert memory >= 0.5 and cores >= 0.5
    assert memory + cores >= 1.4


def plan_twice(add_jobs, weights, executors=4):
    """Return the places of the tasks without shares and with them."""
    plans = []
    for shares in (None, PoolShares(weights)):
        ledger = make_ledger(*(f"e{number}" for number in range(executors)))
        add_jobs(ledger)
        runs = plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares)
        plans.append([(run.key, run.executor_id) for run in runs])
    return plans


def test_the_plan_is_the_same_where_all_fits():
    """Guards against shares that change placements while there is enough."""

    def add_jobs(ledger):
        for number in range(8):
            name = f"w{number % 3}"
            add_job(ledger, ONE_CORE, job_id=f"{number}", workspace=name)

    without, shared = plan_twice(add_jobs, {"w0": 1.0, "w1": 1.0, "w2": 5.0})
    assert without == shared and len(shared) == 32


@pytest.mark.parametrize("workspace", ["w0", ""])
def test_the_plan_is_the_same_with_one_workspace_or_none(workspace):
    """Within a workspace the present order holds, also where capacity lacks."""

    def add_jobs(ledger):
        for number in range(20):
            step = Step(1 + number % 4, Need(1000 + 700 * (number % 3), 100), TASK_S)
            add_job(ledger, step, job_id=f"{number:02}", workspace=workspace)

    without, shared = plan_twice(add_jobs, {"w0": 1.0})
    assert without == shared and shared


@pytest.mark.parametrize("gang", [False, True])
def test_a_step_wider_than_the_share_is_placed_as_a_whole(gang):
    """Guards against wide steps that wait for ever, as they never fit the share."""
    ledger = make_ledger("e0", "e1")
    wide = Step(10, Need(1000, 100), TASK_S, gang=gang)
    add_job(ledger, wide, job_id="wide", workspace="a")
    for number in range(10):
        add_job(ledger, ONE_CORE, job_id=f"b{number}", workspace="b")
    shares = PoolShares({"a": 1.0, "b": 1.0})
    plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares)
    runs = [run.key.job_id for run in ledger.list_runs()]
    assert len(runs) == 16
    assert runs.count("wide") == 10


def test_what_an_entitled_workspace_can_not_use_goes_to_the_others():
    """Guards against capacity that is kept for tasks that fit on no executor."""
    ledger = make_ledger("e0")
    labelled = Step(8, Need(1000, 100), TASK_S, requires="none has this label")
    add_job(ledger, labelled, job_id="a", workspace="a")
    for number in range(12):
        step = Step(1, Need(1000, 100), TASK_S)
        add_job(ledger, step, job_id=f"b{number}", workspace="b")
    shares = PoolShares({"a": 1.0, "b": 1.0})
    runs = plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares)
    assert shares.latest.limits["b"] == pytest.approx(0.5)
    assert len(runs) == EXECUTOR_CORES
    assert {run.progress.job.workspace for run in runs} == {"b"}


def test_jobs_without_a_workspace_keep_their_rank():
    """Guards against anonymous queues that wait behind every workspace."""
    ledger = make_ledger("e0")
    for number in range(4):
        add_job(ledger, ONE_CORE, job_id=f"{number}", workspace="a" * (number < 2))
    shares = PoolShares({"a": 1.0})
    plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares)
    placed = {run.key.job_id for run in ledger.list_runs()}
    assert placed == {"0", "1"}
    order = [
        run.key.job_id for run in plan_runs(ledger, 2.0, WALL_EPOCH + 2.0, None, shares)
    ]
    assert order == []
    for run in list(ledger.list_runs()):
        ledger.finish(run, WALL_EPOCH + 3.0)
    runs = plan_runs(ledger, 3.0, WALL_EPOCH + 3.0, None, shares)
    assert {run.key.job_id for run in runs} == {"2", "3"}


def test_shares_are_those_of_executors_that_take_work():
    """Guards against shares of capacity that is drained and can't be used."""
    ledger = make_ledger("e0", "e1", "e2")
    ledger.set_withdrawn({"e1", "e2"})
    for number in range(6):
        add_job(ledger, ONE_CORE, job_id=f"a{number}", workspace="a")
        add_job(ledger, ONE_CORE, job_id=f"b{number}", workspace="b")
    shares = PoolShares({"a": 1.0, "b": 3.0})
    plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares)
    standings = shares.latest.list_standings()
    assert standings["a"].entitlement == pytest.approx(0.25)
    assert standings["b"].entitlement == pytest.approx(0.75)


def test_what_a_quota_holds_back_takes_no_share_of_the_others():
    """Guards against a burst that passes others, as one at its quota counts too.

    Without the held tasks, 8 cores are divided between "hot", which is first in line,
    and "calm", which needs less than its half.
    """
    ledger = make_ledger("e0")
    held = Step(100, Need(1000, 100), TASK_S)
    add_job(ledger, held, job_id="held", workspace="held")
    for number in range(24):
        workspace = "hot" if number < 20 else "calm"
        single = Step(1, Need(1000, 100), TASK_S)
        add_job(ledger, single, job_id=f"{number}", workspace=workspace)
    shares = PoolShares({"held": 10.0, "hot": 1.0, "calm": 1.0})
    quotas = QuotaBook("pool", 7, lambda name: (10, 9, {"other": QuotaRow(Need(1000))}))
    quotas.set_limits({"held": Need(1000)}, 0.0)
    quotas.begin_round({}, 1.0, WALL_EPOCH + 1.0)
    runs = plan_runs(ledger, 1.0, WALL_EPOCH + 1.0, None, shares, quotas)
    started = [run.progress.job.workspace for run in runs]
    assert (started.count("hot"), started.count("calm")) == (4, 4)
    assert shares.latest.list_standings()["held"].is_limited


def make_burst(seed, end):
    """Return 19 workspaces within their shares, and one that sends 7 times as much."""
    rate = 0.9 * CORES / 20
    arrivals = [
        row
        for name in OTHERS
        for row in make_arrivals(name, rate, 0.0, 60.0, seed, evenly=True)
    ]
    return arrivals + make_arrivals(HOT, 7 * rate, 1.0, end, seed)


def test_only_the_workspace_beyond_its_share_is_refused():
    """Guards against refusals of the others, whose jobs wait for a task at most."""
    model = ShareModel(EXECUTORS, WEIGHTS).run(make_burst(5, 9.0), 9.0)
    demand = model.estimate(9.0)
    for name in WEIGHTS:
        job = make_arrivals(name, 8.0, 9.0, 12.0, 1)[0][1]
        assert (compute_retry_delay(job, demand) is not None) is (name == HOT)


def test_a_refused_job_that_returns_in_time_finds_a_short_enough_backlog():
    """Guards against retry times that forget that the others go on sending.

    The allowed wait may be missed by a task's duration on average.
    """
    refused_at, excesses = 9.0, []
    for seed in (5, 6, 7, 8):
        arrivals = make_burst(seed, refused_at)
        model = ShareModel(EXECUTORS, WEIGHTS).run(arrivals, refused_at)
        job = make_arrivals(HOT, 8.0, 9.0, 12.0, 1)[0][1]
        delay = compute_retry_delay(job, model.estimate(refused_at))
        whole = ShareModel(EXECUTORS, WEIGHTS).run(arrivals, 40.0)
        done_at = max(at for at, _ in whole.work[HOT])
        assert len(whole.waits[HOT]) == sum(job.workspace == HOT for _, job in arrivals)
        excesses.append(done_at - (refused_at + delay) - compute_cutoff(job))
    assert statistics.fmean(excesses) <= TASK_S
