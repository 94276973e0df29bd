"""Tests of how the events of a pool's owner read in the log."""

from peridotspoke.clock import ManualClock
from peridotspoke.nodes.poolevents import count_assigned, format_fields
from peridotspoke.workloads.jobs import TaskKey
from peridotspoke.workloads.progress import JobProgress, TaskStatus
from peridotspoke.workloads.tests.ledgers import make_job


def test_the_end_of_a_lease_reads_as_a_time_of_day():
    """Monotonic seconds can't be compared with the times of other nodes' lines."""
    clock = ManualClock(100.0)
    wall = clock.read_wall()
    fields = {"task": TaskKey("a", 0, 1, 2), "held_until": 101.5 - (wall % 1.0)}
    shown = format_fields(fields, clock)
    assert shown["job"] == "a" and shown["task"] == "0.1.2"
    assert shown["held_until"].endswith(".500+00:00")


def test_a_taken_job_counts_the_runs_of_an_earlier_owner():
    """A new owner waits for these runs before it starts their tasks again."""
    progress = JobProgress(make_job())
    progress.open_occurrence(0)
    assert count_assigned(progress) == 0
    progress.find_task(
        TaskKey(progress.job.job_id, 0, 0, 1)
    ).status = TaskStatus.ASSIGNED
    assert count_assigned(progress) == 1
