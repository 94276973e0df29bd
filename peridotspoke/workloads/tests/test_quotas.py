"""Tests of quotas: pools that share a workspace's limit, and what counts against it."""

from dataclasses import replace

import pytest

from peridotspoke.workloads.executors import ReportedRun
from peridotspoke.workloads.jobs import Need, Step, TaskKey
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.quotarecords import QuotaRow, QuotaRules
from peridotspoke.workloads.quotas import QuotaBook, UseCounter
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import (
    JOB,
    RULES,
    WALL_EPOCH,
    make_job,
    make_ledger,
    report,
    start_all,
)
from peridotspoke.workloads.tests.quotamodel import STEP, QuotaWorld

TEAM = "team"
CORE = Need(1000, 100)


def run_until(world, condition, most):
    """Run a world until a condition holds; return the seconds that took."""
    begun = world.now
    while not condition():
        assert world.now - begun < most
        world.step()
    return world.now - begun


def test_the_first_start_waits_for_one_write():
    """Guards against a request that waits for anything but the store's answer."""
    world = QuotaWorld(1, pools=1)
    world.run(0.2)
    pool = world.pools["p0"]
    pool.tasks = [(Need(3), 1.0)] * 3
    took = run_until(world, lambda: not pool.tasks, 1.0)
    assert took <= 3 * STEP  # the round that requests, and the one after the answer
    assert world.writes == 1


def test_room_follows_two_pools_that_peak_in_turn():
    """Guards against a grant that stays with the pool that peaked before."""
    world = QuotaWorld(2, pools=2)
    world.run(0.2)
    for turn in range(6):
        pool = world.pools[f"p{turn % 2}"]
        pool.tasks = [(Need(2), 0.5)] * 5
        assert run_until(world, lambda pool=pool: not pool.tasks, 2.0) < 2.0
        world.run(0.7)
    assert world.writes <= 6 * 4


def test_two_pools_that_need_more_than_half_each_get_it_in_turn():
    """Guards against two pools that each hold a part of what one task needs."""
    world = QuotaWorld(3, pools=2)
    world.run(0.2)
    for pool in world.pools.values():
        pool.tasks = [(Need(7), 0.2)] * 4
    pools = world.pools.values()
    run_until(world, lambda: not any(pool.tasks for pool in pools), 16.0)


def test_a_limit_below_what_runs_lets_nothing_start_until_it_is_kept():
    world = QuotaWorld(4, pools=2)
    world.run(0.2)
    first, second = world.pools.values()
    first.tasks = [(Need(2), 2.0)] * 3
    second.tasks = [(Need(2), 4.0)]
    run_until(world, lambda: not (first.tasks or second.tasks), 1.0)
    world.change_limit(Need(4))
    world.run(0.6)  # the new limit is known everywhere
    second.tasks = [(Need(2), 0.2)]
    while world.sum_running().cpu > 2:
        assert second.tasks
        world.step()
    run_until(world, lambda: not second.tasks, 2.0)


def test_a_task_larger_than_a_lowered_limit_runs_alone():
    """Guards against an accepted job that never runs, and one that others join."""
    world = QuotaWorld(5, pools=2)
    world.run(0.2)
    first, second = world.pools.values()
    first.tasks = [(Need(1), 1.0)] * 4
    run_until(world, lambda: not first.tasks, 1.0)
    world.change_limit(Need(4))
    world.run(0.6)
    second.tasks = [(Need(8), 1.0)]
    run_until(world, lambda: not second.tasks, 6.0)
    assert world.sum_running() == Need(8)
    first.tasks = [(Need(1), 0.1)]
    while world.sum_running() == Need(8):
        assert first.tasks
        world.step()
    run_until(world, lambda: not first.tasks, 2.0)


def test_small_tasks_pass_one_that_waits_for_more_than_is_ever_free():
    """Guards against a task beside lasting ones that holds all later ones back."""
    world = QuotaWorld(6, pools=2)
    world.run(0.2)
    first, second = world.pools.values()
    first.tasks = [(Need(6), 1e6)]
    run_until(world, lambda: not first.tasks, 1.0)
    second.tasks = [(Need(7), 1.0), (Need(1), 0.2)]
    run_until(world, lambda: len(second.tasks) == 1, 3.0)
    first.tasks = [(Need(1), 0.2)]
    run_until(world, lambda: not first.tasks, 3.0)


class Records:
    """What the store holds of one workspace, as a node knows it."""

    def __init__(self, rows=None, revision=1):
        self.known = (10, revision if rows else 0, {} if rows is None else rows)

    def find(self, workspace):
        return self.known


def make_book(granted=None, limit=Need(4000), rows=None, fence=7):
    """Return the book of "pool"; `granted` is the pool's grant."""
    rows = dict(rows or {})
    if granted is not None:
        rows["pool"] = QuotaRow(granted)
    book = QuotaBook("pool", fence, Records(rows).find)
    book.set_limits({TEAM: limit}, 0.0)
    return book


def begin(book, ledger, now=1.0):
    uses = UseCounter().count(ledger, book.limits, now)
    book.begin_round(uses, now, WALL_EPOCH + now)
    return uses


def plan(book, ledger, now=1.0):
    begin(book, ledger, now)
    return plan_runs(ledger, now, WALL_EPOCH + now, quotas=book)


def add(ledger, *steps, workspace=TEAM, job_id=JOB):
    job = replace(make_job(*steps, job_id=job_id), workspace=workspace)
    ledger.add_job(JobProgress(job))


def test_a_task_starts_only_within_the_grant():
    book, ledger = make_book(Need(2000)), make_ledger("e1")
    add(ledger, Step(5, CORE))
    assert len(plan(book, ledger)) == 2
    ((_, _, row),) = book.list_writes()
    assert row == QuotaRow(Need(4000))  # what all ready tasks need, up to the limit


def test_a_record_lost_long_ago_ends_no_later_wait_for_a_new_limit():
    """Guards against starts beside tasks that run without grants elsewhere."""
    book, ledger = make_book(Need(4000)), make_ledger("e1")
    add(ledger, Step(1, CORE))
    book.set_limits({}, 90.0)
    book.set_limits({TEAM: Need(4000)}, 100.0, {TEAM})
    book.note_lost_record(TEAM, 10.0)
    assert not plan(book, ledger, 102.9)
    assert plan(book, ledger, 103.1)


def test_a_task_that_waits_for_its_quota_blocks_no_smaller_one_of_others():
    """Guards against a quota that counts as a lack of room on executors."""
    book, ledger = make_book(), make_ledger("e1")
    add(ledger, Step(1, CORE))
    add(ledger, Step(3, Need(2000, 100)), workspace="", job_id="f" * 16)
    assert len(plan(book, ledger)) == 3


def test_a_pool_without_room_requests_no_quota():
    """Guards against quota that is held by a pool whose executors are full."""
    book, ledger = make_book(limit=Need(40_000)), make_ledger("e1")
    add(ledger, Step(8, CORE), workspace="")
    start_all(ledger, 0.5)
    add(ledger, Step(8, CORE), job_id="f" * 16)
    assert not plan(book, ledger)
    assert not list(book.list_writes())


def test_a_request_is_bounded_by_the_room_on_executors():
    book, ledger = make_book(limit=Need(400_000)), make_ledger("e1")
    add(ledger, Step(50, CORE))
    plan(book, ledger)
    ((_, _, row),) = book.list_writes()
    assert row.granted == Need(8000)


def test_a_gang_starts_only_if_all_its_tasks_fit_the_grant():
    """Guards against a part of a gang that waits for the rest with its quota."""
    gang = Step(3, CORE, gang=True)
    book, ledger = make_book(Need(2000)), make_ledger("e1")
    add(ledger, gang)
    assert not plan(book, ledger)
    ((_, _, row),) = book.list_writes()
    assert row.granted == Need(3000)
    book, ledger = make_book(Need(3000)), make_ledger("e1")
    add(ledger, gang)
    assert len(plan(book, ledger)) == 3


def test_a_gang_held_back_leaves_its_places_to_others():
    book, ledger = make_book(), make_ledger("e1")
    add(ledger, Step(8, CORE, gang=True))
    add(ledger, Step(8, CORE), workspace="", job_id="f" * 16)
    assert len(plan(book, ledger)) == 8


def test_a_task_that_fills_idle_time_counts_with_its_processors():
    """Guards against a workspace over its limit by tasks that reserve no processors."""
    book, ledger = make_book(Need(1000)), make_ledger("e1")
    add(ledger, Step(2, CORE, fills=True))
    assert len(plan(book, ledger)) == 1
    assert begin(book, ledger) == {TEAM: CORE}


def test_nothing_starts_before_the_record_is_known_as_of_the_claim():
    """Guards against a new owner that goes by a grant its predecessor has returned."""
    book, ledger = make_book(Need(4000), fence=11), make_ledger("e1")
    add(ledger, Step(1, CORE))
    assert not plan(book, ledger)
    assert not list(book.list_writes())


def test_a_resource_without_a_limit_holds_nothing_back():
    book, ledger = make_book(limit=Need(0, 0, 2)), make_ledger("e1")
    add(ledger, Step(8, CORE))
    assert len(plan(book, ledger)) == 8


def test_what_runs_without_a_grant_is_recorded_before_anything_starts():
    """Guards against a new limit of which other pools take what runs here already."""
    ledger = make_ledger("e1")
    add(ledger, Step(3, CORE))
    start_all(ledger, 0.5)
    book = QuotaBook("pool", 7, Records().find)
    book.set_limits({TEAM: Need(9000)}, 1.0, known={TEAM})
    add(ledger, Step(1, CORE), job_id="f" * 16)
    assert not plan(book, ledger, 1.0)
    ((_, _, row),) = book.list_writes()
    assert row.granted == Need(3000) and row.waiting_since
    settled = 1.0 + QuotaRules().settling
    plan(book, ledger, settled)
    assert [row.granted for _, _, row in book.list_writes()] == [Need(4000)]


def test_an_unreadable_record_grants_nothing_and_is_not_replaced():
    book, ledger = make_book(Need(4000)), make_ledger("e1")
    book._find_known = lambda workspace: (10, 5, None)
    add(ledger, Step(1, CORE))
    assert not plan(book, ledger)
    assert not list(book.list_writes())


def test_a_run_given_up_for_a_copy_counts_until_its_lease_ends():
    """Guards against both copies of a task within the quota of one."""
    ledger = make_ledger("e1")
    add(ledger, Step(1, CORE, speculative=True))
    (run,) = start_all(ledger, 0.5)
    ledger.extend_lease("e1", 9.0)
    ledger.note_unreachable("e1", "no answer", 1.0)
    ledger.requeue_speculative(2.0)
    uses = UseCounter()
    assert not ledger.executors[run.executor_id].runs
    assert uses.count(ledger, {TEAM}, 2.0) == {TEAM: CORE}
    assert uses.count(ledger, {TEAM}, 9.0) == {TEAM: CORE}
    assert uses.count(ledger, {TEAM}, 9.0 + RULES.margin + 0.1) == {}


def test_a_run_that_an_earlier_owner_gave_up_counts_until_its_lease_ends():
    ledger = make_ledger()
    job = replace(make_job(Step(1, CORE, speculative=True)), workspace=TEAM)
    progress = JobProgress(job)
    progress.open_occurrence(0)
    progress.occurrences[0][0][0].run = 1
    ledger.add_job(progress)
    uses = UseCounter()
    assert uses.count(ledger, {TEAM}, 1.0) == {TEAM: CORE}
    assert uses.count(ledger, {TEAM}, ledger.find_former_end() + 0.1) == {}


@pytest.mark.parametrize("knows_job", [True, False])
def test_a_run_that_the_ledger_lacks_counts_until_a_report_proves_its_end(knows_job):
    """Guards against runs that are being stopped and aren't listed meanwhile."""
    rules = replace(RULES, stop_limit=2.0)
    ledger = make_ledger("e1", rules=rules)
    job = replace(make_job(Step(1, CORE)), workspace=TEAM)
    if knows_job:
        ledger.add_job(JobProgress(job))
    uses = UseCounter(lambda job_id: job if job_id == JOB else None)
    ledger.extend_lease("e1", 60.0)
    listed = ReportedRun(TaskKey(JOB, 0, 0, 0), 4, "", 50)
    report(ledger, "e1", 1.0, running=[listed])
    assert uses.count(ledger, {TEAM}, 1.0) == {TEAM: CORE}
    report(ledger, "e1", 2.0)
    assert uses.count(ledger, {TEAM}, 2.0) == {TEAM: CORE}
    report(ledger, "e1", 3.5)
    assert uses.count(ledger, {TEAM}, 3.5) == {}


def test_a_grant_that_was_returned_isn_t_known_anew_from_an_older_copy():
    """Two of 100 walks ran 11 of 10 cores: an idle workspace was forgotten too soon."""
    book = make_book(Need(3000))
    book.note_grant(TEAM)
    book.begin_round({}, 0.0, WALL_EPOCH)
    book.quotas[TEAM].observe(11, 11, {}, 0.5)  # the answer comes before the watch
    for now in (0.5, 0.6):
        book.begin_round({}, now, WALL_EPOCH + now)
        assert not book.has_room(TEAM, CORE)
