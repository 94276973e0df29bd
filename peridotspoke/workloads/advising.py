"""Interface to the advice service, and which executors to ask it about, in which turn.

The service decides which executors may run a step. It takes one call at a time of each
calling process, which answers many steps that need advice at once: their calls wait
here, where they can still be changed or withdrawn, and each of them takes only as long
as the executors that it names.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from peridotspoke.workloads.placement import count_places, rank_offer
from peridotspoke.workloads.runs import compute_need

__all__ = [
    "AdviceCalls",
    "AdviceTurns",
    "StepAdvice",
    "WaitingCall",
    "choose_candidates",
]

MAX_EXECUTORS_PER_CALL = 100  # limit of the platform's protocol
CALL_MARGIN_S = 1.0  # added to the duration of a call that the queue states
RETRY_DELAY_S = 0.5  # after a call that was refused or got no answer
EXPIRY_MARGIN_S = 0.2  # before its expiry from which a ticket is not used
WITHDRAWN_AFTER_S = 1.0  # without its step being looked at, a call is not made
MAX_PATIENCE = 16.0  # times the duration that a call should take
SPARE_FACTOR = 2.0  # places that are asked about for each one that is needed


class AdviceCalls(ABC):
    """Client of the advice service; raises the same errors as `ExecutorCalls`."""

    @abstractmethod
    async def advise(self, key, executor_ids, timeout):
        """Return the `TicketGrant` of a step for the executors that are asked about.

        Parameters
        ----------
        key : TaskKey
            Any task of the step.
        executor_ids : sequence of str
            Candidates; at most 100.
        timeout : float
            Time limit of the call, seconds.
        """


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    incarnation: int
    expires_at: float


@dataclass(slots=True)
class StepAdvice:
    """What the advice service has answered about a step. Times are monotonic seconds.

    Parameters
    ----------
    waiting_since : float
        When the step first needed advice, or when its last call ended.
    answers : dict of (str, int) to bool, optional
        Whether an executor, in one incarnation, may run the step.
    tickets : dict, optional
        The latest ticket of each executor that may.
    looked_at : float, optional
        When it was last looked for what the step lacks.
    """

    waiting_since: float
    answers: dict = field(default_factory=dict)
    tickets: dict = field(default_factory=dict)
    looked_at: float = float("-inf")

    def add(self, lives, grant, asked_at):
        """Take a `TicketGrant` in.

        Parameters
        ----------
        lives : dict of str to int
            The incarnation of each executor that was asked about, as the call was made.
        grant : TicketGrant
        asked_at : float
        """
        expires_at = asked_at + grant.lifetime
        for name, incarnation in lives.items():
            ticket = grant.tickets.get(name)
            self.answers[name, incarnation] = ticket is not None
            if ticket is not None:
                self.tickets[name] = _Ticket(ticket, incarnation, expires_at)

    def drop(self, executor_id):
        """Drop the ticket of an executor that has refused it."""
        self.tickets.pop(executor_id, None)

    def list_valid(self, now, find_life):
        """Return the text of each ticket that an executor's present life accepts."""
        return {
            name: ticket.text
            for name, ticket in self.tickets.items()
            if now <= ticket.expires_at - EXPIRY_MARGIN_S
            and ticket.incarnation == find_life(name)
        }

    def may_run(self, executor_id, incarnation):
        """Return whether an executor may run the step; None if it isn't known."""
        return self.answers.get((executor_id, incarnation))


def choose_candidates(work, offers, advice, valid, find_life, share, bound=()):
    """Return the executors to ask about next for a step, the best first.

    Asked about are as many as probably have twice the places that the step's tasks lack
    with the tickets that are valid: first those that a task is bound to, and those that
    are known to be allowed, then those with room, in the order in which tasks are
    placed. Executors without room are asked about only while none is known that may run
    the step.

    Parameters
    ----------
    work : StepWork
    offers : dict of str to Offer
    advice : StepAdvice
    valid : container of str
        Executors with a valid ticket.
    find_life : callable
        Returns the incarnation of an executor.
    share : float
        Share of the executors that probably may run a step of the queue.
    bound : container of str, optional
        Executors that a task of the step is bound to.

    Returns
    -------
    tuple of str
        At most 100; empty if none needs to be asked about.
    """
    step = work.progress.job.steps[work.step_number]
    need, group = compute_need(step), work.tasks[0].key[:3]
    places = {name: count_places(offers[name], step, need, group) for name in offers}
    lacking = len(work.tasks) - sum(places.get(name, 0) for name in valid)
    allowed = {name: advice.may_run(name, find_life(name)) for name in offers}
    open_names = [
        name
        for name in offers
        if name not in valid
        and allowed[name] is not False
        and (not step.requires or step.requires in offers[name].labels)
    ]
    chosen = [name for name in open_names if name in bound]
    expected = 0.0
    ranked = sorted(
        (name for name in open_names if name not in bound and places[name]),
        key=lambda name: (
            not allowed[name],
            rank_offer(offers[name], step, need, group, frozenset()),
        ),
    )
    for name in ranked:
        if expected >= SPARE_FACTOR * lacking or len(chosen) >= MAX_EXECUTORS_PER_CALL:
            break
        chosen.append(name)
        expected += places[name] * (1.0 if allowed[name] else share)
    if not chosen and not valid and True not in allowed.values():
        count = math.ceil(SPARE_FACTOR / share)
        chosen = open_names[: min(count, MAX_EXECUTORS_PER_CALL)]
    return tuple(chosen[:MAX_EXECUTORS_PER_CALL])


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for its turn. Times are monotonic seconds.

    Parameters
    ----------
    owner : object
        Names the step among all of this process.
    since : float
        When the step first needed advice, or when its last call ended.
    seen_at : float
        When it was last asked for.
    duration : float
        How long the service takes for it by its queue's configuration, seconds.
    content : object
        What the call is about.
    """

    owner: object
    since: float
    seen_at: float
    duration: float
    content: object


class AdviceTurns:
    """Whose call to the advice service is made next, and how long it may take.

    One call is made at a time, that of the step that has waited longest. A step whose
    call has ended goes behind the others, so that it can't hold them up. After a call
    without an answer the next ones may take longer, as long as none ends well: the
    service may be slower than its queues state, and may still work on a call that was
    given up. So in any backlog some call ends well, and each step has its turn.
    """

    def __init__(self):
        self._waiting = {}
        self._current = None
        self._begun_at = 0.0
        self._free_at = float("-inf")
        self._open_at = float("-inf")
        self._patience = 1.0

    @property
    def current(self):
        """The `WaitingCall` that is being made; None if there is none."""
        return self._current

    def request(self, call):
        """Let a call wait for its turn, or take the place of the one of its step."""
        if self._current is None or self._current.owner != call.owner:
            self._waiting[call.owner] = call

    def withdraw(self, owner):
        """Withdraw the call of a step that needs it no more."""
        self._waiting.pop(owner, None)

    def count_waiting(self):
        """Return how many calls wait."""
        return len(self._waiting)

    def begin_next(self, now):
        """Return the call to make now, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self._current is not None or now < self._open_at:
            return None
        self._waiting = {
            owner: call
            for owner, call in self._waiting.items()
            if now - call.seen_at <= WITHDRAWN_AFTER_S
        }
        if not self._waiting:
            return None
        call = min(self._waiting.values(), key=lambda item: item.since)
        del self._waiting[call.owner]
        self._current, self._begun_at = call, now
        return call

    def compute_limit(self):
        """Return how long the call that has just begun may take, seconds."""
        backlog = max(0.0, self._free_at - self._begun_at)
        return backlog + self._patience * (self._current.duration + CALL_MARGIN_S)

    def end(self, now):
        """Note that the call was answered, so that the service is free.

        Later calls may take twice as long as this one, where that is more than they
        should take.
        """
        call, self._current = self._current, None
        stated = call.duration + CALL_MARGIN_S
        taken = now - max(self._begun_at, min(now, self._free_at))
        self._patience = max(1.0, min(self._patience, 2.0 * taken / stated))
        self._free_at = now

    def give_up(self, now, was_received=True):
        """Note that the call was refused or got no answer.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        was_received : bool, optional
            Whether the service may be at work on it; False if it refused the call, or
            could not be reached.
        """
        call, self._current = self._current, None
        self._open_at = now + RETRY_DELAY_S
        if was_received:
            taken = max(call.duration, now - self._begun_at)
            self._free_at = now + taken
            self._patience = min(2.0 * self._patience, MAX_PATIENCE)
