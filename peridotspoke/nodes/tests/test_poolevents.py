"""Tests of how the events of a pool's owner read in the log."""

from peridotspoke.clock import ManualClock
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.poolevents import (
    WaitingReport,
    count_assigned,
    format_fields,
)
from peridotspoke.workloads.jobs import Need, Step, TaskKey
from peridotspoke.workloads.progress import JobProgress, TaskStatus
from peridotspoke.workloads.tests.ledgers import add_job, make_job, make_ledger


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


def test_tasks_that_wait_have_one_line_a_second_for_the_whole_pool():
    """A line for each task and round would drown the others when they are needed."""
    ledger = make_ledger()
    progress = add_job(ledger, Step(30, Need(1000, 100), lasting=True))
    progress.open_occurrence(0)
    metrics, lines = MetricsRegistry(), []
    waiting = WaitingReport(
        ledger, set, metrics, lambda event, **fields: lines.append((event, fields))
    )
    for tick in range(500):
        waiting.update(tick * 0.01)
    assert 4 <= len(lines) <= 5
    event, fields = lines[-1]
    assert event == "task-waiting"
    assert fields["tasks"] == 30 and fields["executors"] == 0
    assert fields["task"] == progress.occurrences[0][0][0].key
    assert (fields["reason"], fields["reasons"]) == ("executors", "executors:30")
    gauge = 'lasting_tasks_waiting{pool="pool",reason="executors"}'
    assert f"{gauge} 30.0" in metrics.render().decode()
    waiting.clear()
    assert f"{gauge} 0.0" in metrics.render().decode()
