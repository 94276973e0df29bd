"""Tests of the size of a pool whose tasks take more memory than processors.

The load pattern: executors of 32 cores and 64 GB, and long-running tasks of some 4
cores and 15 GB, a few of them up to 45 GB, that come and go or lose their executor.
"""

from dataclasses import replace

import pytest

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.sizing import SizingRules, plan_moves
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    add_job,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
)

CAPACITY = Need(32_000, 64_000)
RULES = SizingRules()
USUAL = Step(24, Need(4000, 15_000), lasting=True)
LARGE = Step(6, Need(4000, 40_000), lasting=True)


class Pool:
    """A pool of some machines beside spare ones, sized until nothing changes."""

    def __init__(self, machines, spare=30, capacity=CAPACITY):
        self.capacity = capacity
        self.ledger = make_ledger()
        self.fleet = {}
        self.now = 0.0
        for number in range(machines + spare):
            name = f"m{number:02}"
            self._place(name, "pool" if number < machines else "spare")

    def _place(self, name, pool):
        executor = f"i-{name}" if pool == "pool" else ""
        self.fleet[name] = Machine(
            name, pool, MachineState.UP, "zone", ("a",), self.capacity, executor
        )
        if executor:
            entry = replace(make_entry(executor), capacity=self.capacity)
            self.ledger.see_entry(entry, self.now)
            report(self.ledger, executor, self.now)

    def estimate(self, rate=0.0):
        wall = WALL_EPOCH + self.now
        timings = list(list_timings(self.ledger, wall))
        return estimate_demand(self.ledger, timings, sum_ready(self.ledger), rate)

    def size(self):
        """Return the plan for the pool as it is now."""
        demand = self.estimate()
        peaks = {"pool": demand.cores * RULES.headroom}
        demands = {"pool": demand}
        return plan_moves(self.fleet, demands, peaks, "spare", {}, {}, set(), RULES)

    def settle(self):
        """Carry out the moves and starts that follow; return the number of moves."""
        count = 0
        for _ in range(5):
            self.now += 1.0
            moves = self.size().moves
            count += len(moves)
            for name, pool in moves:
                self._place(name, pool)
            start_all(self.ledger, self.now)
        return count

    def count_standing(self):
        return sum(
            task.status is TaskStatus.WAITING
            for progress in self.ledger.jobs.values()
            for task in progress.list_tasks()
        )


def test_a_pool_large_enough_by_processors_has_room_by_memory_for_tasks_that_last():
    """Four machines have the processors for 24 tasks, and the memory for 16."""
    pool = Pool(machines=2)
    add_job(pool.ledger, USUAL)
    pool.settle()
    assert pool.count_standing() == 0


def test_a_task_that_takes_most_of_an_executor_gets_one():
    """Five machines have the memory for six such tasks, but no two fit on one."""
    pool = Pool(machines=2)
    add_job(pool.ledger, LARGE)
    pool.settle()
    assert pool.count_standing() == 0


def test_no_machine_is_given_up_on_which_a_standing_task_has_its_only_place():
    """By processors the pool could give up the machine that none of them is on."""
    pool = Pool(machines=6, spare=0)
    add_job(pool.ledger, replace(LARGE, count=5))
    start_all(pool.ledger, 0.0)
    assert pool.size().withdraw != ()
    standing = add_job(pool.ledger, replace(LARGE, count=1), job_id="1" * 16)
    standing.open_occurrence(0)
    assert pool.size().withdraw == ()


def test_tasks_of_a_machine_in_maintenance_have_a_place_elsewhere():
    """Each of the other machines has too little memory left for one more."""
    pool = Pool(machines=6)
    add_job(pool.ledger, LARGE)
    first, *_ = start_all(pool.ledger, 0.0)
    pool.ledger.set_withdrawn({first.executor_id})
    name = first.executor_id.removeprefix("i-")
    demands = {"pool": pool.estimate()}
    plan_of_wave = plan_moves(pool.fleet, demands, {}, "spare", {}, {}, {name}, RULES)
    assert [target for _, target in plan_of_wave.moves] == ["pool"]


def test_finite_work_that_takes_much_memory_gets_machines_by_it():
    """Twenty ready tasks of 2 cores and 15 GB need five machines, not two."""
    pool = Pool(machines=2)
    add_job(pool.ledger, Step(20, Need(2000, 15_000), estimate=2.0))
    pool.settle()
    assert pool.count_standing() == 0


def test_tasks_that_need_accelerators_get_machines_by_them():
    """A machine has two accelerators and the processors for eight tasks."""
    pool = Pool(machines=2, capacity=Need(32_000, 64_000, 2))
    step = Step(8, Need(4000, 1000, 1), lasting=True)
    add_job(pool.ledger, step)
    pool.settle()
    assert pool.count_standing() == 0


def test_no_machines_are_ordered_for_a_task_that_no_executor_could_take():
    """More executors of the same kind would stand idle."""
    pool = Pool(machines=2)
    add_job(pool.ledger, Step(3, Need(4000, 1000, 1), lasting=True))
    add_job(pool.ledger, Step(3, Need(4000, 99_000), lasting=True), job_id="1" * 16)
    assert pool.estimate().spread == 0


@pytest.mark.parametrize("memory", [1000, 4000, 7900])
def test_where_processors_bind_first_memory_changes_nothing(memory):
    """A core of the executors has 2 GB; a machine more would stand idle."""
    demands, moves = [], []
    for taken in (0, memory):
        pool = Pool(machines=2)
        need = Need(4000, taken)
        add_job(pool.ledger, Step(24, need, lasting=True))
        add_job(pool.ledger, Step(40, need, estimate=2.0), job_id="1" * 16)
        plan(pool.ledger, 0.0)
        demands.append(pool.estimate(rate=100.0).cores)
        moves.append(pool.settle())
    assert demands[0] == demands[1]
    assert moves[0] == moves[1]
