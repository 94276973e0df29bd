"""Many steps at once need advice of a service that takes one call at a time (review/9).

The load pattern: jobs that come at once on queues whose calls take long, on several
pools of one process, beside a service that does not notice that a caller has gone.
"""

import pytest

from peridotspoke.workloads.advising import (
    AdviceTurns,
    StepAdvice,
    WaitingCall,
    choose_candidates,
)
from peridotspoke.workloads.executors import TicketGrant
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.readywork import list_step_work, open_due_occurrences
from peridotspoke.workloads.scheduling import make_offers
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_ledger

FINISH_S = 14.0  # after which jobs that have come at once are asked for
CALL_S = 1.0
STEP_S = 0.05


class SlowService:
    """Works on the calls that it was sent in turn, whether or not they were given up.

    Parameters
    ----------
    factor : float
        How many times the stated duration a call takes.
    """

    def __init__(self, factor=1.0):
        self.factor = factor
        self.free_at = 0.0

    def receive(self, now, duration):
        """Return when the answer to a call that is sent now is ready."""
        self.free_at = max(self.free_at, now) + self.factor * duration
        return self.free_at


def play(turns, service, owners, seconds, needs_more=()):
    """Let steps of several pools ask for advice until they have it.

    Those of `needs_more` ask again after each answer. Returns when each step had its
    first answer.
    """
    answered, since = {}, dict.fromkeys(owners, 0.0)
    current = ready_at = limit_at = None
    for number in range(round(seconds / STEP_S)):
        now = number * STEP_S
        for owner in owners:
            if owner not in answered or owner in needs_more:
                turns.request(WaitingCall(owner, since[owner], now, CALL_S, None))
        if current is not None and ready_at <= now:
            turns.end(now)
            answered.setdefault(current.owner, now)
            since[current.owner], current = now, None
        elif current is not None and limit_at <= now:
            turns.give_up(now)
            since[current.owner], current = now, None
        if current is None:
            current = turns.begin_next(now)
            if current is not None:
                ready_at = service.receive(now, current.duration)
                limit_at = now + turns.compute_limit()
    return answered


@pytest.mark.parametrize("jobs", [8, 12])
def test_steps_that_come_at_once_all_have_advice_in_turn(jobs):
    # Guards against jobs that never start beside idle executors (LOST, review/9).
    owners = [(f"pool-{number % 3}", number) for number in range(jobs)]
    answered = play(AdviceTurns(), SlowService(), owners, FINISH_S)
    assert answered.keys() == set(owners)


@pytest.mark.parametrize("factor", [2.0, 4.0, 10.0])
def test_calls_of_a_service_that_is_slower_than_stated_end_well(factor):
    """It works on for callers that have gone; a removed queue states 0 s (review/8)."""
    answered = play(AdviceTurns(), SlowService(factor), ["a", "b", "c"], 40 * factor)
    assert answered.keys() == {"a", "b", "c"}


def test_a_new_owner_waits_for_calls_of_the_one_before_on_the_same_process():
    """The service still works on 6 calls that nobody waits for any more."""
    service = SlowService()
    for _ in range(6):
        service.receive(0.0, CALL_S)
    answered = play(AdviceTurns(), service, ["a", "b"], 40.0)
    assert answered.keys() == {"a", "b"}


def test_no_step_is_passed_over_by_one_that_needs_more_each_time():
    # Guards against one step that has all the turns.
    owners = ["greedy", *range(6)]
    answered = play(AdviceTurns(), SlowService(), owners, FINISH_S, {"greedy"})
    assert answered.keys() == set(owners)


def test_a_call_that_its_step_no_longer_needs_is_not_made():
    """A job was cancelled, or its pool is another process's, while its call waited."""
    turns = AdviceTurns()
    turns.request(WaitingCall("old", 0.0, 0.0, CALL_S, None))
    turns.request(WaitingCall("gone", 0.5, 0.5, CALL_S, None))
    turns.request(WaitingCall("new", 1.5, 1.5, CALL_S, None))
    turns.withdraw("gone")
    assert turns.begin_next(1.6).owner == "new"
    assert turns.count_waiting() == 0


def test_a_refused_call_holds_all_calls_back_for_a_moment():
    """The service has too many calls waiting; it has not taken this one."""
    turns = AdviceTurns()
    turns.request(WaitingCall("a", 0.0, 0.0, CALL_S, None))
    turns.begin_next(0.0)
    limit = turns.compute_limit()
    turns.give_up(0.1, was_received=False)
    turns.request(WaitingCall("a", 0.1, 0.1, CALL_S, None))
    assert turns.begin_next(0.2) is None
    assert turns.begin_next(0.7).owner == "a"
    assert turns.compute_limit() == limit


def make_work(*steps, executors=10):
    """Return a ledger, the work of a job's first step and the offers for it."""
    ledger = make_ledger(*(f"e{number}" for number in range(executors)))
    add_job(ledger, *steps)
    open_due_occurrences(ledger, WALL_EPOCH)
    (work,) = list_step_work(ledger, WALL_EPOCH)
    return work, make_offers(ledger, 0.0)


def choose(work, offers, advice, now=1.0, share=0.5, **options):
    valid = advice.list_valid(now, lambda name: 1)
    return choose_candidates(
        work, offers, advice, valid, lambda name: 1, share, **options
    )


def answer(advice, names, good):
    grant = TicketGrant({name: f"ticket-{name}" for name in good}, 5.0)
    advice.add(dict.fromkeys(names, 1), grant, 0.0)


def test_a_step_of_one_task_asks_about_few_executors():
    """Each executor in a call makes all calls behind it wait."""
    work, offers = make_work(Step(1, Need(1000, 100)), executors=40)
    assert len(choose(work, offers, StepAdvice(0.0))) == 4
    assert len(choose(work, offers, StepAdvice(0.0), share=0.1)) == 20


def test_others_are_asked_about_where_those_asked_may_not_run_the_step():
    # Guards against a step whose first executors are all refused (LOST).
    work, offers = make_work(Step(1, Need(1000, 100)))
    advice, asked = StepAdvice(0.0), []
    while names := choose(work, offers, advice):
        answer(advice, names, ())
        asked += names
    assert sorted(asked) == sorted(offers)


def test_others_are_asked_about_where_the_allowed_ones_are_full():
    # Guards against a step that waits for one full executor beside idle ones (LOST).
    work, offers = make_work(Step(1, Need(1000, 100)))
    advice = StepAdvice(0.0)
    answer(advice, ["e3"], ["e3"])
    assert choose(work, offers, advice) == ()
    offers["e3"].cpu = 0
    names = choose(work, offers, advice)
    assert names
    assert "e3" not in names


def test_those_that_may_run_the_step_are_asked_first_once_their_ticket_is_over():
    """Which executors may run a step doesn't change."""
    work, offers = make_work(Step(1, Need(1000, 100)))
    advice = StepAdvice(0.0)
    answer(advice, ["e3", "e4", "e5"], ["e4"])
    assert choose(work, offers, advice, now=6.0)[0] == "e4"
    assert not {"e3", "e5"} & set(choose(work, offers, advice, now=6.0))


def test_the_executor_that_a_task_is_bound_to_is_asked_about():
    """A start of it may still be carried out there, so that it runs nowhere else."""
    work, offers = make_work(Step(1, Need(1000, 100)))
    advice = StepAdvice(0.0)
    answer(advice, ["e3"], ["e3"])
    assert choose(work, offers, advice, bound={"e7"}) == ("e7",)


def test_executors_without_the_required_label_are_not_asked_about():
    work, offers = make_work(Step(1, Need(1000, 100), requires="rack-2"))
    assert choose(work, offers, StepAdvice(0.0)) == ("e2",)


def test_full_executors_are_asked_about_only_while_none_is_known():
    work, offers = make_work(Step(1, Need(1000, 100)))
    for offer in offers.values():
        offer.cpu = 0
    advice = StepAdvice(0.0)
    names = choose(work, offers, advice)
    assert len(names) == 4
    answer(advice, names, names[:1])
    assert choose(work, offers, advice) == ()


def test_a_ticket_of_a_former_life_is_not_used():
    # Guards against starts that are refused until the ticket's time is over.
    advice = StepAdvice(0.0)
    answer(advice, ["e1"], ["e1"])
    assert advice.list_valid(1.0, lambda name: 1)
    assert not advice.list_valid(1.0, lambda name: 2)
    assert advice.may_run("e1", 2) is None
