"""Stateful property tests of races between controllers, callers and workers."""

import enum

from hypothesis import (
    settings,
    strategies as st,
)
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from peridotspoke.jobs import JobPhase, JobSpec, Urgency
from peridotspoke.jobs.actions import CallEnd, CallStart
from peridotspoke.jobs.messages import TERMINAL_PHASES, Ran
from peridotspoke.jobs.tests.harness import ControllerUnderTest, World

FAULT_FREE_ROUNDS = 400


class Fate(enum.Enum):
    """What happens to an action that a controller returned."""

    CARRIED_OUT = "carried out"
    ANSWER_LOST = "answer lost"
    CALL_LOST = "call lost"
    HELD = "held"


class JobRaces(RuleBasedStateMachine):
    """Two controllers that both act as owner of the pool.

    The lease of the owner is not checked, because the invariants must hold without
    it. A controller without a step for some time is suspended; its earlier actions
    may still be carried out later.
    """

    def __init__(self):
        super().__init__()
        self.world = World()
        self.controllers = [ControllerUnderTest(self.world, name) for name in "ab"]
        self.keys = []
        self.sent_calls = []
        self.cancel_reads = []
        self.terminal_phases = {}
        for controller in self.controllers:
            controller.run_without_faults()
        for seconds in ("2", "30"):
            spec = JobSpec("plan", "team", ("run", seconds))
            self.keys.append(self.world.submit([spec]))

    @rule(
        idempotent=st.booleans(),
        urgency=st.sampled_from(Urgency),
        command=st.sampled_from([("run", "2"), ("fail", "1"), ("run", "30")]),
    )
    def submit(self, idempotent, urgency, command):
        if len(self.keys) < 5:
            spec = JobSpec(
                "plan", "team", command, 2.0, urgency=urgency, idempotent=idempotent
            )
            self.keys.append(self.world.submit([spec]))

    @rule(
        number=st.integers(0, 1),
        reads_changes=st.booleans(),
        runs=st.booleans(),
        fates=st.lists(st.sampled_from(Fate), min_size=1, max_size=6),
    )
    def act(self, number, reads_changes, runs, fates):
        """Let a controller read changes, run a round and carry out some actions."""
        controller = self.controllers[number]
        if reads_changes:
            controller.watch()
        if runs:
            controller.run_round()
        for fate in fates:
            if not controller.outbox or fate is Fate.HELD:
                break
            action = controller.deliver(
                0, fate is not Fate.CALL_LOST, fate is not Fate.ANSWER_LOST
            )
            if isinstance(action, CallStart | CallEnd):
                self.sent_calls.append(action)

    @rule(number=st.integers(0, 1))
    def act_reliably(self, number):
        controller = self.controllers[number]
        controller.watch()
        controller.run_round()
        while controller.outbox:
            action = controller.deliver()
            if isinstance(action, CallStart | CallEnd):
                self.sent_calls.append(action)

    @precondition(lambda self: self.sent_calls)
    @rule(index=st.integers(0, 20))
    def repeat_call(self, index):
        """Deliver an earlier call late or as a duplicate."""
        action = self.sent_calls[index % len(self.sent_calls)]
        if isinstance(action, CallStart):
            self.world.call_worker(action.worker, "start_task", action.start)
        else:
            self.world.call_worker(action.worker, "end_tasks", action.end)

    @rule(seconds=st.sampled_from([1.1, 3.0, 6.0]))
    def pass_time(self, seconds):
        self.world.now += seconds

    @rule(worker=st.sampled_from(["w0", "w1"]))
    def restart_worker(self, worker):
        self.world.runners[worker].restart()

    @precondition(lambda self: self.keys)
    @rule(index=st.integers(0, 3))
    def read_to_cancel(self, index):
        key = self.keys[index % len(self.keys)]
        self.cancel_reads.append((key, self.world.read(key)))

    @precondition(lambda self: self.cancel_reads)
    @rule()
    def swap_to_cancel(self):
        key, read = self.cancel_reads.pop(0)
        self.world.cancel(key, 0, read)

    @precondition(lambda self: self.keys)
    @rule(index=st.integers(0, 3))
    def cancel(self, index):
        self.world.cancel(self.keys[index % len(self.keys)], 0)

    @rule(number=st.integers(0, 1))
    def replace_controller(self, number):
        self.controllers[number] = ControllerUnderTest(self.world, f"c{number}")

    @invariant()
    def check_job_invariants(self):
        for job_id, job in self.world.list_jobs():
            runs = self.world.count_runs(job_id)
            state = job.state
            if not job.spec.idempotent:
                assert runs <= 1, f"{job_id} ran {runs} times: {state}"
            if state.ran is Ran.NO and state.phase in (
                JobPhase.QUEUED,
                *TERMINAL_PHASES,
            ):
                assert runs == 0, f"{job_id} is told not to have run: {state}"
            if state.ran is Ran.YES:
                assert runs >= 1, f"{job_id} is told to have run: {state}"
            if job_id in self.terminal_phases:
                assert state.phase is self.terminal_phases[job_id], (
                    f"{job_id} left its end"
                )
            if state.phase in TERMINAL_PHASES:
                self.terminal_phases[job_id] = state.phase

    def teardown(self):
        """Check that without further faults every accepted job ends."""
        for _ in range(FAULT_FREE_ROUNDS):
            self.world.now += 1.0
            for controller in self.controllers:
                controller.run_without_faults()
            self.check_job_invariants()
            jobs = dict(self.world.list_jobs())
            if all(job.state.phase in TERMINAL_PHASES for job in jobs.values()):
                break
        assert len(jobs) == len(self.keys)
        open_jobs = {
            job_id: job.state
            for job_id, job in jobs.items()
            if job.state.phase not in TERMINAL_PHASES
        }
        assert not open_jobs


TestJobRaces = JobRaces.TestCase
TestJobRaces.settings = settings(max_examples=250, stateful_step_count=30)
