"""Tests of the moves of machines between pools under changing demand."""

from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.sizing import SizingRules, plan_moves

RULES = SizingRules(headroom=1.0)


def make_machine(name, pool, state=MachineState.UP):
    executor = "" if pool == "spare" else f"i-{name}"
    return Machine(name, pool, state, "zone", ("a",), Need(32_000, 1, 0), executor)


def make_fleet(**pools):
    machines = {}
    for pool, count in pools.items():
        for number in range(count):
            name = f"{pool}{number}"
            machines[name] = make_machine(name, pool)
    return machines


def run_plan(
    machines,
    needs,
    recent_peaks=None,
    resizing=None,
    moving=None,
    reserved=(),
    late=None,
):
    demands = {
        pool: PoolDemand(
            cores=need,
            late_cores=(late or {}).get(pool, 0.0),
            removable=tuple(
                item.executor_id for item in machines.values() if item.pool == pool
            ),
        )
        for pool, need in needs.items()
    }
    return plan_moves(
        machines,
        demands,
        recent_peaks or {},
        "spare",
        resizing or {},
        moving or {},
        set(reserved),
        RULES,
    )


def test_a_peak_takes_machines_from_the_spare_pool():
    """It takes as many as the demand exceeds the capacity."""
    plan = run_plan(make_fleet(a=3, spare=8), {"a": 190.0})
    assert [pool for _, pool in plan.moves] == ["a"] * 3


def test_machines_are_returned_only_after_the_hold_time():
    """A recent higher need keeps the machines in the pool."""
    machines = make_fleet(a=8, spare=0)
    assert run_plan(machines, {"a": 64.0}, recent_peaks={"a": 256.0}).withdraw == ()
    assert len(run_plan(machines, {"a": 64.0}, recent_peaks={"a": 64.0}).withdraw) == 6


def test_a_peak_takes_machines_that_another_pool_has_emptied():
    """A machine due for the spare pool goes directly to the pool that needs it."""
    machines = make_fleet(a=2, b=3)
    plan = run_plan(machines, {"a": 96.0, "b": 64.0}, resizing={"b0": True})
    assert plan.moves == (("b0", "a"),)
    plan = run_plan(machines, {"a": 64.0, "b": 96.0}, resizing={"b0": True})
    assert plan.moves == ()
    assert plan.restore == ("b0",)


def test_machines_being_moved_count_as_capacity():
    """A second round with the same demand must not order another machine."""
    machines = make_fleet(a=2, spare=2)
    plan = run_plan(machines, {"a": 96.0}, moving={"spare0": "a"})
    assert plan.moves == ()


def test_reserved_machines_are_not_moved():
    """A machine under maintenance is neither lent nor counted."""
    plan = run_plan(make_fleet(a=2, spare=1), {"a": 96.0}, reserved=("spare0",))
    assert plan.moves == ()


def test_long_running_tasks_keep_the_machines_that_their_limits_need():
    """The spread of long-running tasks is a lower bound on the pool's size."""
    machines = make_fleet(a=5, spare=0)
    demands = {"a": PoolDemand(cores=10.0, spread=4, removable=("i-a0", "i-a1"))}
    plan = plan_moves(machines, demands, {}, "spare", {}, {}, set(), RULES)
    assert len(plan.withdraw) == 1


def test_late_work_gets_only_what_work_in_time_leaves():
    """A pool with a late backlog must not starve another pool's peak."""
    machines = make_fleet(a=2, b=2, spare=6)
    plan = run_plan(machines, {"a": 64.0, "b": 192.0}, late={"a": 900.0})
    pools = [pool for _, pool in plan.moves]
    assert (pools.count("b"), pools.count("a")) == (4, 2)


def test_late_work_keeps_its_machines_only_while_no_pool_lacks_capacity():
    """Otherwise they are emptied for work that can still be in time."""
    machines = make_fleet(a=8, b=2, spare=0)
    calm = run_plan(machines, {"a": 64.0, "b": 64.0}, late={"a": 900.0})
    scarce = run_plan(machines, {"a": 64.0, "b": 192.0}, late={"a": 900.0})
    assert (len(calm.withdraw), len(scarce.withdraw)) == (0, 6)


def test_a_pool_that_lacks_capacity_gets_what_another_only_holds():
    """The hold time saves moves; it must not keep capacity from work in time."""
    machines = make_fleet(a=8, b=2, spare=0)
    recent_peaks = {"a": 256.0}
    plan = run_plan(machines, {"a": 64.0, "b": 160.0}, recent_peaks)
    assert len(plan.withdraw) == 3
    plan = run_plan(
        machines, {"a": 64.0, "b": 160.0}, recent_peaks, resizing={"a7": False}
    )
    assert len(plan.withdraw) == 2
    assert run_plan(machines, {"a": 256.0, "b": 160.0}, recent_peaks).withdraw == ()
    assert run_plan(machines, {"a": 64.0, "b": 64.0}, recent_peaks).withdraw == ()
