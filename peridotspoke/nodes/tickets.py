"""Keeps the tickets of steps whose queue requires advice on its executors."""

from peridotspoke.nodes.advicequeue import AdviceRequest
from peridotspoke.workloads.advising import StepAdvice, choose_candidates
from peridotspoke.workloads.latestarts import find_bound_executor

__all__ = ["TicketCache"]

LOOK_INTERVAL = 0.3  # seconds between two looks for what a step lacks
UNKNOWN_SHARE = (1, 2)  # executors that may run a step, of those asked about


class TicketCache:
    """Asks for the tickets that the steps of a pool lack, and keeps them.

    Parameters
    ----------
    advice : AdviceQueue or None
        None if there is no advice service; no tickets are requested then.
    clock : Clock
    find_advice : callable
        Takes a queue's name and returns its `Advice`, or None if it has none.
    ledger : PoolLedger
        Gives the executors' incarnations, and to which of them tasks are bound.
    """

    def __init__(self, advice, clock, find_advice, ledger):
        self._advice = advice
        self._clock = clock
        self._find_advice = find_advice
        self._ledger = ledger
        self._steps = {}
        self._answers = {}
        self._timings = {}

    def find(self, work, offers):
        """Return the valid tickets of a step, and ask for those that it lacks.

        Parameters
        ----------
        work : StepWork
        offers : dict of str to Offer
            The executors that take new runs.

        Returns
        -------
        dict of str to str, or None
            The tickets by executor; None if there is none.
        """
        step_key = work.tasks[0].key[:3]
        now = self._clock.read_monotonic()
        step = self._steps.setdefault(step_key, StepAdvice(now))
        valid = step.list_valid(now, self._find_life)
        if self._advice is not None and now >= step.looked_at + LOOK_INTERVAL:
            step.looked_at = now
            self._request_missing(work, offers, step, valid)
        return valid or None

    def list_granted(self, step_key):
        """Return the set of executors with a ticket of a step that is still valid.

        Parameters
        ----------
        step_key : tuple of (str, int, int)
            Job ID, occurrence and number of the step.

        Returns
        -------
        set of str
        """
        step = self._steps.get(step_key)
        if step is None:
            return set()
        return set(step.list_valid(self._clock.read_monotonic(), self._find_life))

    def drop(self, step_key, executor_id):
        """Drop a ticket that its executor has refused."""
        step = self._steps.get(step_key)
        if step is not None:
            step.drop(executor_id)

    def remove_ended_jobs(self):
        """Remove what is known of jobs that the ledger no longer has."""
        if any(job_id not in self._ledger.jobs for job_id, *_ in self._steps):
            self._steps = {
                step_key: step
                for step_key, step in self._steps.items()
                if step_key[0] in self._ledger.jobs
            }

    def _find_life(self, executor_id):
        state = self._ledger.executors.get(executor_id)
        return None if state is None else state.incarnation

    def _request_missing(self, work, offers, step, valid):
        """Ask for the tickets that a step lacks, or withdraw the call that did."""
        queue, step_key = work.progress.job.queue, work.tasks[0].key[:3]
        bound = {find_bound_executor(self._ledger, task.key) for task in work.tasks}
        good, asked = self._answers.get(queue, UNKNOWN_SHARE)
        names = choose_candidates(
            work, offers, step, valid, self._find_life, good / asked, bound
        )
        owner = (self._ledger.pool, step_key)
        if not names:
            self._advice.withdraw(owner)
            return
        lives = {name: self._find_life(name) for name in names}
        request = AdviceRequest(work.tasks[0].key, lives, self._take)
        duration = self._compute_duration(queue, len(names))
        self._advice.request(owner, step.waiting_since, duration, request)

    def _compute_duration(self, queue, count):
        """Return how long a call about `count` executors takes, seconds.

        A queue that was removed from the configuration keeps its last timing.
        """
        timing = self._find_advice(queue) or self._timings.get(queue)
        if timing is None:
            return 0.0
        self._timings[queue] = timing
        return timing.call_time + timing.time_per_executor * count

    def _take(self, request, grant, begun_at):
        """Take an answer in; if there is none, or too little, others come first."""
        step = self._steps.get(request.key[:3])
        if step is None:
            return
        step.waiting_since = self._clock.read_monotonic()
        step.looked_at = float("-inf")
        if grant is None:
            return
        step.add(request.lives, grant, begun_at)
        progress = self._ledger.jobs.get(request.key.job_id)
        if progress is not None:
            queue = progress.job.queue
            good, asked = self._answers.get(queue, UNKNOWN_SHARE)
            good += len(grant.tickets.keys() & request.lives.keys())
            self._answers[queue] = (good, asked + len(request.lives))
