"""Tests of the counters and of the lines of the runs that a pool's owner orders."""

from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes import supervising
from peridotspoke.nodes.messages import StopAnswered
from peridotspoke.nodes.runcounters import count_run_event
from peridotspoke.nodes.tests.doubles import RunningCalls
from peridotspoke.nodes.tests.test_sessions import FENCE, SessionFixture
from peridotspoke.nodes.tests.test_supervising import (
    follow_entries,
    make_jobs,
    make_owning_parts,
    run_round,
)
from peridotspoke.workloads.executors import Refusal, StopOrder
from peridotspoke.workloads.ledgertypes import StoredBatch
from peridotspoke.workloads.runs import RunPhase
from peridotspoke.workloads.tests.ledgers import JOB, add_job, start_all


def test_events_of_runs_are_counted_by_their_reason():
    """How often a run was released, and why, took a search of all logs."""
    metrics = MetricsRegistry()
    for event, fields in [
        ("run-ordered", {}),
        ("run-over", {"reason": "lease expired"}),
        ("run-over", {"reason": "lease expired"}),
        ("run-stopping", {"reason": "stalled at 3 percent"}),
        ("run-stopping", {"reason": "stalled at 97 percent"}),
        ("run-ended", {"kind": "done"}),
        ("run-foreign", {}),
        ("ends-missing", {"missing": 4, "first": False}),
        ("task-waiting", {"reason": "memory"}),
    ]:
        count_run_event(metrics, event, fields)
    lines = metrics.render().decode().splitlines()
    assert sorted(line for line in lines if not line.startswith("#")) == [
        'peridotspoke_ends_missing_total{first="False"} 4.0',
        "peridotspoke_foreign_runs_total 1.0",
        'peridotspoke_run_ends_total{kind="done"} 1.0',
        'peridotspoke_run_stops_total{reason="stalled"} 2.0',
        "peridotspoke_runs_ordered_total 1.0",
        'peridotspoke_runs_released_total{reason="lease expired"} 2.0',
    ]


async def test_an_ordered_run_names_what_its_owner_believed_of_the_executor(
    monkeypatch,
):
    """A start that reached another executor or a later incarnation couldn't be told."""
    lines = []
    monkeypatch.setattr(
        supervising,
        "log_event",
        lambda event, *_, **fields: lines.append((event, fields)),
    )
    parts, jobs = make_owning_parts(), make_jobs()
    parts.open_executor = lambda entry: RunningCalls()
    follow_entries(parts, "e1")
    supervisor, task = run_round(parts, jobs, FENCE)
    run = supervisor._ledger.find_run(task)
    run.phase = RunPhase.PLANNED
    supervisor._start_runs(StoredBatch({}, (run,), frozenset()))
    supervisor._tasks.cancel()
    (ordered,) = [fields for event, fields in lines if event == "run-ordered"]
    assert (ordered["job"], ordered["run"], ordered["executor"]) == (JOB, 1, "e1")
    assert (ordered["born"], ordered["address"]) == (1, "10.0.0.1:80")
    assert ordered["fence"] == FENCE
    (taken,) = [fields for event, fields in lines if event == "job-taken"]
    assert taken["progress"] > 0
    assert parts.metrics.get_count("runs_ordered") == 1


async def test_a_refusal_of_a_stop_is_passed_on():
    """A stop that an executor refused looked like one that it accepted."""
    fixture = SessionFixture()
    add_job(fixture.ledger)
    (run, _) = start_all(fixture.ledger, 100.0)
    order = StopOrder(run.key, run.number, FENCE)

    async def refuse(_):
        return Refusal.SUPERSEDED

    fixture.executor.stop = refuse
    await fixture.session.stop(order, lambda *_: True)
    assert fixture.messages == [StopAnswered("e1", order, Refusal.SUPERSEDED, 1)]
