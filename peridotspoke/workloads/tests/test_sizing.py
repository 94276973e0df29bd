"""Tests of the sizes of pools under the load that they answer."""

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
    machines, needs, held=None, resizing=None, moving=None, busy=(), late=None
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
        held or {},
        "spare",
        resizing or {},
        moving or {},
        set(busy),
        RULES,
    )


def test_a_peak_takes_machines_that_are_off():
    """As many as the need is above the room."""
    plan = run_plan(make_fleet(a=3, spare=8), {"a": 190.0})
    assert [pool for _, pool in plan.moves] == ["a"] * 3


def test_a_trough_gives_machines_back_only_after_the_hold():
    """A need of a moment ago keeps them."""
    machines = make_fleet(a=8, spare=0)
    assert run_plan(machines, {"a": 64.0}, held={"a": 256.0}).withdraw == ()
    assert len(run_plan(machines, {"a": 64.0}, held={"a": 64.0}).withdraw) == 6


def test_a_peak_takes_what_another_pool_has_emptied():
    """A machine on its way to be off goes straight to the pool that needs it."""
    machines = make_fleet(a=2, b=3)
    plan = run_plan(machines, {"a": 96.0, "b": 64.0}, resizing={"b0": True})
    assert plan.moves == (("b0", "a"),)
    plan = run_plan(machines, {"a": 64.0, "b": 96.0}, resizing={"b0": True})
    assert plan.moves == ()
    assert plan.restore == ("b0",)


def test_machines_on_their_way_count_and_are_not_moved_again():
    """Two rounds of the same need order no second machine."""
    machines = make_fleet(a=2, spare=2)
    plan = run_plan(machines, {"a": 96.0}, moving={"spare0": "a"})
    assert plan.moves == ()


def test_machines_with_other_business_are_left_alone():
    """A wave's machine is neither lent nor counted."""
    plan = run_plan(make_fleet(a=2, spare=1), {"a": 96.0}, busy=("spare0",))
    assert plan.moves == ()


def test_lasting_tasks_keep_as_many_machines_as_their_limits_need():
    """The spread of lasting tasks is a floor."""
    machines = make_fleet(a=5, spare=0)
    demands = {"a": PoolDemand(cores=10.0, spread=4, removable=("i-a0", "i-a1"))}
    plan = plan_moves(machines, demands, {}, "spare", {}, {}, set(), RULES)
    assert len(plan.withdraw) == 1


def test_late_work_gets_only_what_work_in_time_leaves():
    """A pool with a backlog that is late anyway must not starve another's peak."""
    machines = make_fleet(a=2, b=2, spare=6)
    plan = run_plan(machines, {"a": 64.0, "b": 192.0}, late={"a": 900.0})
    pools = [pool for _, pool in plan.moves]
    assert (pools.count("b"), pools.count("a")) == (4, 2)


def test_late_work_keeps_its_machines_only_while_nobody_lacks_room():
    """They are emptied for what can still be in time."""
    machines = make_fleet(a=8, b=2, spare=0)
    calm = run_plan(machines, {"a": 64.0, "b": 64.0}, late={"a": 900.0})
    scarce = run_plan(machines, {"a": 64.0, "b": 192.0}, late={"a": 900.0})
    assert (len(calm.withdraw), len(scarce.withdraw)) == (0, 6)


def test_a_pool_that_lacks_room_gets_what_another_only_holds():
    """The hold saves moves; it must not keep room from work in time."""
    machines = make_fleet(a=8, b=2, spare=0)
    held = {"a": 256.0}
    plan = run_plan(machines, {"a": 64.0, "b": 160.0}, held)
    assert len(plan.withdraw) == 3
    plan = run_plan(machines, {"a": 64.0, "b": 160.0}, held, resizing={"a7": False})
    assert len(plan.withdraw) == 2
    assert run_plan(machines, {"a": 256.0, "b": 160.0}, held).withdraw == ()
    assert run_plan(machines, {"a": 64.0, "b": 64.0}, held).withdraw == ()
