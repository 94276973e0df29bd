"""Tests that a long-running task that is moved starts at the place found for it.

The load pattern: executors are emptied during a wave, beside a backlog of finite tasks
that takes each free place, and beside other tasks that are moved as well.
"""

import pytest

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.evacuation import plan_evacuation
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.runs import RunPhase
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    add_job,
    end,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
    store,
    terms,
)

ROUND_S = 0.1
MOVED = Step(1, Need(4000, 15_000), lasting=True)
LARGE = Step(1, Need(1000, 40_000), lasting=True)
FINITE_S = 1.2  # duration of a finite task
BACKLOG = Step(400, Need(1000, 100), estimate=FINITE_S)
JOBS = ("0" * 16, "1" * 16, "2" * 16)


class Rounds:
    """Plays rounds of a pool: runs are stopped a round after, finite ones end."""

    def __init__(self, *names):
        self.ledger = make_ledger(*names)
        self.now = 0.0
        self.ends = {}

    def play(self, stop_answers=True):
        """Play a round; return the runs stopped for the executors being emptied."""
        self.now += ROUND_S
        if stop_answers:
            self._deliver_reports()
        stopped = list(self._evacuate())
        plan(self.ledger, self.now)
        for run in store(self.ledger):
            self.ledger.apply_start_answer(run, None, self.now)
        return stopped

    def _evacuate(self):
        for run in plan_evacuation(self.ledger, self.now):
            self.ledger.stop_run(run, "executor leaves")
            yield run

    def _deliver_reports(self):
        """Report each executor: the runs that are stopped or complete have ended."""
        for name, state in list(self.ledger.executors.items()):
            runs = list(state.runs.values())
            done = [run for run in runs if self._is_done(run)][:1]
            running = [
                run
                for run in runs
                if run not in done and run.phase is not RunPhase.STOPPING
            ]
            for command in list(self.ledger.list_stops()):
                self.ledger.apply_stop_answer(
                    command.executor_id, command.order, self.now - ROUND_S / 2
                )
            count = self.ends[name] = self.ends.get(name, 0) + len(done)
            ended = [end(count, run) for run in done]
            report(self.ledger, name, self.now, running, ended)

    def _is_done(self, run):
        return not run.step.lasting and self.now - run.started_at >= FINITE_S

    def find_run(self, progress):
        (task,) = progress.list_tasks()
        run = self.ledger.find_run(task)
        return run if run and run.phase is RunPhase.RUNNING else None


def start_move(target="e2"):
    """Return rounds in which a task has just been stopped, and its job's progress."""
    rounds = Rounds("e1")
    moved = add_job(rounds.ledger, MOVED, job_id=JOBS[0], terms=terms(priority=1))
    start_all(rounds.ledger, 0.0)
    rounds.ledger.see_entry(make_entry(target), 0.0)
    report(rounds.ledger, target, 0.0)
    rounds.ledger.set_withdrawn({"e1"})
    return rounds, moved


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_moved_task_does_not_lose_its_place_to_a_backlog_while_it_is_stopped(
    priority,
):
    """The finite tasks end one by one, and each is followed by another one."""
    rounds, moved = start_move()
    backlog = terms(priority=priority, latency=60.0)
    add_job(rounds.ledger, BACKLOG, job_id=JOBS[1], terms=backlog)
    assert len(rounds.play()) == 1
    for _ in range(30):
        rounds.play()
    assert rounds.find_run(moved).executor_id == "e2"


def test_two_tasks_that_are_moved_in_turn_do_not_get_the_same_place():
    """The second one would be stopped and stand, as the first one takes the place."""
    rounds = Rounds("e1", "e2")
    jobs = [add_job(rounds.ledger, LARGE, job_id=job_id) for job_id in JOBS[:2]]
    start_all(rounds.ledger, 0.0)
    rounds.ledger.see_entry(make_entry("e3"), 0.0)
    report(rounds.ledger, "e3", 0.0)
    rounds.ledger.set_withdrawn({"e1", "e2"})
    stopped = rounds.play(stop_answers=False) + rounds.play(stop_answers=False)
    assert len(stopped) == 1
    for _ in range(5):
        rounds.play()
    executors = sorted(rounds.find_run(job).executor_id for job in jobs)
    assert executors in (["e1", "e3"], ["e2", "e3"])


def test_a_place_is_not_held_for_good():
    """The stopped run stays listed, as its executor does not answer the stop."""
    rounds, _ = start_move()
    assert len(rounds.play()) == 1
    filler = Step(1, Need(7000, 100), lasting=True)
    other = add_job(rounds.ledger, filler, job_id=JOBS[2])
    rounds.play(stop_answers=False)
    assert rounds.find_run(other) is None
    rounds.now += 6.0
    rounds.play(stop_answers=False)
    assert rounds.find_run(other) is not None


def test_the_place_of_a_cancelled_job_is_free_at_once():
    rounds, moved = start_move()
    rounds.play()
    rounds.ledger.cancel_job(moved.job.job_id, WALL_EPOCH + rounds.now)
    other = add_job(rounds.ledger, Step(1, Need(7000, 100)), job_id=JOBS[1])
    rounds.play(stop_answers=False)
    assert rounds.find_run(other) is not None


def test_an_executor_on_which_a_place_is_held_is_not_offered_for_removal():
    """It has no such task yet, and would be emptied before the task comes."""
    rounds, moved = start_move()
    rounds.play()
    assert rounds.find_run(moved) is None
    assert "e2" not in estimate_demand(rounds.ledger, (), 0.0, 0.0).removable


def test_a_smaller_task_that_fits_nowhere_does_not_keep_a_moved_one_off_its_place():
    """A size that fits nowhere is tried once a round, and larger ones are skipped."""
    rounds, moved = start_move()
    rounds.play()
    urgent = Step(20, Need(1000, 100), estimate=60.0)
    add_job(rounds.ledger, urgent, job_id=JOBS[1], terms=terms(priority=0))
    for _ in range(3):
        rounds.play()
    assert rounds.find_run(moved).executor_id == "e2"
