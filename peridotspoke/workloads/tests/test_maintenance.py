"""Tests of the order in which a wave empties and maintains its machines."""

from peridotspoke.workloads.configuration import MaintenanceWave
from peridotspoke.workloads.maintenance import plan_wave
from peridotspoke.workloads.tests.test_sizing import make_fleet


def plan(
    machines, withdrawn=None, begun=(), in_maintenance=(), elapsed=0.0, max_down=2
):
    wave = MaintenanceWave(1, tuple(machines), 20.0, max_down)
    return plan_wave(
        wave,
        machines,
        set(begun),
        withdrawn or {},
        set(in_maintenance),
        elapsed,
        {"spare"},
    )


def test_machines_that_are_switched_off_begin_first_within_the_limit():
    """They have no tasks to move."""
    result = plan(make_fleet(a=8, spare=3))
    assert result.begin == ("spare0", "spare1")


def test_at_most_a_share_of_a_pool_is_emptied_at_once():
    """The other machines carry the load; a late wave may empty more."""
    machines = make_fleet(a=12)
    assert len(plan(machines, max_down=8).withdraw) == 3
    assert len(plan(machines, max_down=8, elapsed=15.0).withdraw) == 4


def test_no_machine_begins_while_as_many_as_allowed_are_down():
    """Machines that may be down count as well."""
    machines = make_fleet(a=8)
    withdrawn = {"a0": True, "a1": True}
    assert (
        plan(machines, withdrawn, begun=("a6", "a7"), in_maintenance=("a6", "a7")).begin
        == ()
    )
    assert plan(machines, withdrawn, begun=("a7",), in_maintenance=("a7",)).begin == (
        "a0",
    )


def test_machines_removed_during_a_wave_do_not_count_as_remaining():
    """A machine that no longer exists must not keep the wave open."""
    machines = make_fleet(a=2)
    wave = MaintenanceWave(1, ("a0", "a1", "gone"), 20.0, 2)
    result = plan_wave(wave, machines, {"a0", "a1"}, {}, set(), 0.0)
    assert result.remaining == 0
