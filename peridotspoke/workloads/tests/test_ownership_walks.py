"""Plays random walks through the histories of owners, and walks that once failed.

With any one safeguard taken out, the walks must find a violation.
"""

import pytest

from peridotspoke.workloads.tests.ownershipmodel import ViolationError
from peridotspoke.workloads.tests.ownershipwalks import (
    LASTING_TASK,
    ONE_TASK,
    TWO_STEPS,
    TWO_TASKS,
    Action,
    find_violation,
    play_walk,
)
from peridotspoke.workloads.tests.weakenedledgers import (
    SilenceIgnoringGrants,
    UnboundLedger,
)
from peridotspoke.workloads.tests.weakenedowners import WEAKENED_OWNERS, Weakening

WALKS = 20000


def make_actions(text):
    """Return the actions of a text such as ``"plan 1, take_over 0"``."""
    rows = (row.split() for row in text.split(","))
    return tuple(Action(kind, int(index)) for kind, index in rows)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_walk_breaks_a_rule(seed, restarts):
    assert find_violation(seed, WALKS, restarts) is None


@pytest.mark.parametrize("restarts", [False, True])
def test_no_walk_of_a_task_that_lasts_breaks_a_rule(restarts):
    """Which of its runs are confirmed is stored at once, so that waits are shorter."""
    assert find_violation(3, WALKS, restarts, steps=LASTING_TASK) is None


LATE_POLL_KINDS = ("work_with_one", "work_a_while", "restart_with_lost_poll")


@pytest.mark.parametrize(
    ("seed", "steps", "restarts", "focus"),
    [
        pytest.param(
            1,
            ONE_TASK,
            True,
            (*LATE_POLL_KINDS, "deliver_poll_cut_off", "pass_time"),
            id="a poll of the former life extends a lease",
        ),
        pytest.param(
            1,
            LASTING_TASK,
            True,
            (
                "work_with_one",
                "restart_with_lost_poll",
                "replace_owner_after_polls",
                "pass_time",
            ),
            id="its owner is killed",
        ),
        pytest.param(
            1,
            ONE_TASK,
            True,
            (*LATE_POLL_KINDS, "deliver_poll_cut_off", "hand_over", "pass_time"),
            id="its owner hands over",
        ),
        pytest.param(
            1,
            LASTING_TASK,
            True,
            (
                "work_with_one",
                "lose_poll",
                "restart_executor",
                "deliver_poll",
                "take_over_cut_off",
                "pass_time",
            ),
            id="a former owner loses polls",
        ),
        pytest.param(
            1,
            TWO_TASKS,
            True,
            (
                "work_with_one",
                "work_a_while",
                "finish_run",
                "send_starts",
                "lose_poll",
                "lose_start_that_ends",
                "deliver_poll",
            ),
            id="a cursor for the former life meets an end",
        ),
        pytest.param(
            1,
            ONE_TASK,
            True,
            (
                "work_with_one",
                "work_with_all",
                "plan",
                "send_stops",
                "deliver_commit",
                "deliver_order",
                "give_up_order",
                "lose_contact",
                "restart_executor",
                "take_over_cut_off",
                "pass_time",
            ),
            id="an order for the former life arrives",
        ),
        pytest.param(
            1,
            ONE_TASK,
            False,
            (
                "work_with_one",
                "work_with_all",
                "finish_run",
                "lose_poll",
                "deliver_poll",
                "lose_contact",
                "take_over_cut_off",
                "hand_over",
                "pass_time",
            ),
            id="a poll is late on the life that it is meant for",
        ),
    ],
)
def test_no_walk_of_late_calls_breaks_a_rule(seed, steps, restarts, focus):
    """Each draws from the few kinds of action that such a fault needs."""
    assert find_violation(seed, WALKS, restarts, steps=steps, focus=focus) is None


@pytest.mark.parametrize(
    ("steps", "actions"),
    [
        pytest.param(
            TWO_STEPS,
            "request_report 1, work_with_one 1, restart_executor 1, work_with_one 0,"
            "restart_executor 0, work_with_one 1, request_report 2, deliver_order 0,"
            "deliver_order 0, work_with_one 1, deliver_order 0",
            id="a new incarnation answers a start that the owner sent to the old one",
        ),
        pytest.param(
            ONE_TASK,
            "restart_executor 34, work_with_one 40, pass_time 34, lose_contact 48,"
            "pass_time 22, work_with_one 9",
            id="a lease was extended before the restart was known",
        ),
    ],
)
def test_a_walk_that_broke_a_rule_of_an_earlier_model_breaks_none(steps, actions):
    """Lives had no fence of their own then; other walks show the safeguards now."""
    play_walk(steps, make_actions(actions))


@pytest.mark.parametrize(
    ("steps", "actions", "safeguard"),
    [
        pytest.param(
            TWO_STEPS,
            "work_with_one 57, restart_executor 30, deliver_order 53, send_starts 50",
            "restarts end unreported runs",
            id="a new incarnation answers a start that the owner sent to the old one",
        ),
        pytest.param(
            ONE_TASK,
            "work_with_one 13, lose_order_with_executor 53, pass_time 18,"
            "pass_time 22, restart_executor 46, work_with_one 10, deliver_order 36",
            "leases keep to earlier clocks",
            id="a start is carried out by a life of which nobody hears",
        ),
        pytest.param(
            ONE_TASK,
            "work_with_all 49, work_with_one 29, finish_run 19, work_with_all 52,"
            "finish_run 59, restart_executor 2, work_with_one 13, deliver_order 33,"
            "finish_run 14",
            "cursors reach restarted executors",
            id="a cursor of an earlier incarnation reaches the next one",
        ),
    ],
)
def test_a_walk_that_once_broke_a_rule_breaks_none(steps, actions, safeguard):
    """Each was reduced from a walk that was found without its safeguard."""
    play_walk(steps, make_actions(actions))
    weakening = next(item for item in WEAKENED_OWNERS if item.name == safeguard)
    with pytest.raises(ViolationError):
        play_walk(steps, make_actions(actions), weakening)


@pytest.mark.parametrize(
    "weakening", WEAKENED_OWNERS, ids=[item.name for item in WEAKENED_OWNERS]
)
def test_walks_find_a_violation_without_one_of_the_safeguards(weakening):
    steps = weakening.steps
    found = find_violation(
        weakening.seed, WALKS, weakening.restarts, weakening, steps=steps
    )
    assert found is not None
    assert isinstance(found[2], ViolationError)
    if not weakening.binds:
        play_walk(*found[:2], Weakening("bound to none", 0, ledger=UnboundLedger))


@pytest.mark.parametrize(
    ("actions", "weakening"),
    [
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "take_over_cut_off 0, publish 0, take_over_cut_off 0, kill_former_owner 1,"
            "learn_of_end 0, pass_time 2, extend_as_former_owner 0,",
            Weakening("earlier owners are forgotten", 0, states_earlier=False),
            id="the first owner lives on and extends a lease, the second is killed",
        ),
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "take_over_cut_off 0, pass_time 2, extend_as_former_owner 0,"
            "kill_former_owner 0, learn_of_end 0,",
            Weakening("the end counts from takeover", 0, counts_from_sight=False),
            id="a former owner extends a lease and is killed just after that",
        ),
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "pass_time 2, publish 0, request_report 0, take_over_cut_off 0,"
            "pass_time 2, extend_as_former_owner 0,",
            Weakening("publications age from too early", 0, ages_from_sight=False),
            id="a former owner extends a lease to the end of its horizon",
        ),
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "lose_contact 0, pass_time 1, begin_publication 0, lose_publication 0,"
            "deliver_publication 0, request_report 0, take_over_cut_off 0,",
            Weakening("unanswered publications don't count", 0, withholds=False),
            id="a lease is extended after a publication without an answer",
        ),
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "lose_contact 0, pass_time 1, begin_publication 0, lose_publication 0,"
            "request_report 2, deliver_report 0, publish 0, request_report 0,"
            "deliver_publication 0, take_over_cut_off 0,",
            Weakening("late publications count", 0, chains_publications=False),
            id="a publication takes effect after the one that takes it back",
        ),
        pytest.param(
            "pass_time 3, kill_former_owner 0, work_with_one 0, work_with_one 0,"
            "lose_contact 0, pass_time 1, publish 0, request_report 0,"
            "take_over_cut_off 0,",
            Weakening("silent ones get leases", 0, grants=SilenceIgnoringGrants),
            id="a lease is extended before its silence is taken back",
        ),
    ],
)
def test_leases_that_were_extended_before_an_owner_was_lost_are_awaited(
    actions, weakening
):
    """The task is not started elsewhere while one of them may last."""
    later = "pass_time 2, pass_time 0, pass_time 0, pass_time 0, pass_time 0,"
    walk = make_actions(actions + later + "work_with_one 1")
    play_walk(LASTING_TASK, walk)
    with pytest.raises(ViolationError):
        play_walk(LASTING_TASK, walk, weakening)
