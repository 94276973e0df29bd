"""Tests of calls that are meant for one life of an executor and reach a later one.

Each scenario cuts the executor off while a task runs on its later life, and lets the
owner of that time work with the other one.
"""

import pytest

from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.tests.ledgers import make_job
from peridotspoke.workloads.tests.ownershipmodel import ViolationError, World
from peridotspoke.workloads.tests.ownershipwalks import (
    LASTING_TASK,
    ONE_TASK,
    TWO_TASKS,
)
from peridotspoke.workloads.tests.weakenedledgers import make_unbound_world

STEP_S = 0.25
POLL_S = 0.5
CUT_S = 10.0
OBSERVED_S = 15.0  # from the beginning of the cut
LATE = (0.5, 0.9, 1.2, 2.0, 5.0)  # seconds by which a poll is late
TASKS = [
    pytest.param(ONE_TASK, id="finite"),
    pytest.param(LASTING_TASK, id="lasting"),
]


def look(world, executor):
    """Let the owner request and receive a report, and extend the lease."""
    world.owner.look(executor, extend=True)
    while world.reports:
        world.deliver_report(0)


def poll_regularly(world, executor, until):
    """Let time pass until a time, with a poll every `POLL_S`."""
    while world.now < until:
        world.pass_time(min(POLL_S, until - world.now))
        world.publish()
        look(world, executor)


def lose_poll(world, executor):
    """Let the owner send a poll that extends the lease and gets no answer."""
    world.publish()
    world.owner.lose_poll(executor, extend=True)
    return world.now


def restart(world, executor):
    """Start the next life, of which the owner learns by the list and a report."""
    executor.restart()
    world.owner.ledger.see_entry(world.describe(executor), world.now)
    world.meet([executor])


def start_task(world, executor):
    """Let the owner start a task on an executor and receive that it runs there."""
    world.owner.plan()
    while world.commits:
        world.deliver_commit(0)
    while world.orders:
        world.deliver_order(0)
    look(world, executor)
    world.owner.plan()
    while world.commits:
        world.deliver_commit(0)
    assert executor.running


def begin(steps):
    """Return a `World` whose owner has lost a poll of the first executor's life."""
    world = World(make_job(*steps))
    first = world.executors[0]
    world.meet([first])
    return world, first, lose_poll(world, first)


def begin_on_next_life(steps, delay):
    """Return a `World` in which a lost poll has just reached the next life."""
    world, first, sent_at = begin(steps)
    restart(world, first)
    start_task(world, first)
    poll_regularly(world, first, sent_at + delay)
    world.deliver_poll(0)
    return world, first


def cut_off(world, executor):
    """Let the owner lose an executor."""
    world.owner.ledger.note_unreachable(executor.name, "cut", world.now)


def observe(world):
    """Let the owner work without the executor that is cut off, and then with both.

    A second run raises `ViolationError`.
    """
    cut_end, until = world.now + CUT_S, world.now + OBSERVED_S
    while world.now < until:
        world.pass_time(STEP_S)
        world.publish()
        is_cut = world.now < cut_end
        world.work(world.executors[1:] if is_cut else world.executors)
    assert any(executor.running for executor in world.executors)


@pytest.mark.parametrize("delay", LATE)
@pytest.mark.parametrize("steps", TASKS)
def test_a_late_poll_lets_no_run_outlast_what_its_owner_awaits(steps, delay):
    # A poll of the former life grants the longest lease on the next one.
    world, first = begin_on_next_life(steps, delay)
    cut_off(world, first)
    observe(world)


@pytest.mark.parametrize("delay", LATE)
@pytest.mark.parametrize("steps", TASKS)
def test_a_late_poll_of_an_owner_that_is_killed_is_awaited(steps, delay):
    # The successor reads that the run is confirmed, and awaits the usual lease.
    world, first = begin_on_next_life(steps, delay)
    cut_off(world, first)
    world.take_over()
    world.kill_former_owner(0)
    cut_off(world, first)
    world.publish()
    world.owner.learn_of_end()
    observe(world)


@pytest.mark.parametrize("delay", LATE)
@pytest.mark.parametrize("steps", TASKS)
def test_a_late_poll_of_an_owner_that_is_lost_without_a_word_is_awaited(steps, delay):
    # The successor never learns whether the process has ended.
    world, first = begin_on_next_life(steps, delay)
    cut_off(world, first)
    world.take_over()
    cut_off(world, first)
    observe(world)


@pytest.mark.parametrize("delay", LATE)
@pytest.mark.parametrize("steps", TASKS)
def test_a_late_poll_of_an_owner_that_hands_over_is_awaited(steps, delay):
    # The statement tells what the owner knows, and not what the poll has granted.
    world, first = begin_on_next_life(steps, delay)
    cut_off(world, first)
    world.hand_over()
    cut_off(world, first)
    observe(world)


@pytest.mark.parametrize("delay", (*LATE, 8.0, 11.5))
@pytest.mark.parametrize("steps", TASKS)
def test_a_poll_that_reaches_the_second_next_life_is_awaited(steps, delay):
    # A second rebirth follows before the poll arrives; its owner stays.
    world, first, sent_at = begin(steps)
    restart(world, first)
    restart(world, first)
    start_task(world, first)
    poll_regularly(world, first, sent_at + delay)
    world.deliver_poll(0)
    cut_off(world, first)
    observe(world)


@pytest.mark.parametrize("delay", LATE)
@pytest.mark.parametrize("steps", TASKS)
def test_each_of_two_late_polls_is_awaited(steps, delay):
    # Both are meant for the former life; the later one arrives `delay` after the first.
    world, first, sent_at = begin(steps)
    look(world, first)
    lose_poll(world, first)
    restart(world, first)
    start_task(world, first)
    poll_regularly(world, first, sent_at + LATE[0])
    world.deliver_poll(0)
    poll_regularly(world, first, world.now + delay)
    world.deliver_poll(0)
    cut_off(world, first)
    observe(world)


def finish_first_task(world, executor):
    """Let a task end on the first life, so that the owner sends a cursor there.

    The executor takes no new run meanwhile: no cursor is sent beside its start.
    """
    world.meet([executor])
    world.owner.plan()
    while world.commits:
        world.deliver_commit(0)
    world.deliver_order(0)
    executor.finish(next(iter(executor.running)), EndKind.DONE)
    world.owner.ledger.set_withdrawn({executor.name})
    look(world, executor)
    world.owner.plan()
    while world.commits:
        world.deliver_commit(0)
    world.owner.acknowledge_ends()


def deliver_late_cursor(world):
    """Let a lost start run and end on the next life before a lost cursor arrives."""
    first = world.executors[0]
    finish_first_task(world, first)
    lose_poll(world, first)
    assert world.polls[0].cursor
    world.owner.ledger.set_withdrawn(set())
    world.meet([first])
    world.owner.plan()
    while world.commits:
        world.deliver_commit(0)
    world.give_up_order(0)
    first.restart()
    world.deliver_order(0)
    first.finish(next(iter(first.running)), EndKind.DONE)
    world.deliver_poll(0)
    world.owner.ledger.see_entry(world.describe(first), world.now)
    for _ in range(20):
        world.pass_time(STEP_S)
        world.work(world.executors)


def test_a_late_cursor_makes_no_life_forget_an_end_that_nobody_has_seen():
    # The cursor would hide from its owner that a task is done, which then runs again.
    deliver_late_cursor(World(make_job(*TWO_TASKS)))
    world = World(make_job(*TWO_TASKS))
    world.renews_fence = False
    with pytest.raises(ViolationError):
        deliver_late_cursor(world)


def deliver_former_start(world):
    """Let a former owner's lost start reach the next life once the task runs anew."""
    first, second = world.executors
    world.meet([first])
    world.owner.plan()
    world.deliver_commit(0)
    first.restart()
    world.take_over()
    poll_regularly(world, first, LATE[-1])
    cut_off(world, first)
    world.work([second])
    assert second.running
    world.deliver_order(0)


def test_a_late_start_of_a_former_owner_is_refused_by_the_next_life():
    # Only the fence of its successor tells the next life that it is over.
    deliver_former_start(make_unbound_world(*ONE_TASK))
    world = make_unbound_world(*ONE_TASK)
    world.raises_fence = False
    with pytest.raises(ViolationError):
        deliver_former_start(world)


def test_a_late_start_is_refused_by_a_life_that_was_told_to_stop_it():
    # A run whose start was lost is over on the next life only once a stop is answered.
    world = make_unbound_world(*ONE_TASK)
    first, second = world.executors
    world.meet([first])
    world.owner.plan()
    world.deliver_commit(0)
    start = world.orders[0]
    world.give_up_order(0)
    first.restart()
    while world.now < LATE[-1]:
        world.pass_time(STEP_S)
        world.owner.look(first, extend=True)
        while world.reports:
            world.deliver_report(0)
        world.owner.send_stops()
        for order in [item for item in world.orders if item.stop]:
            world.deliver_order(world.orders.index(order))
    cut_off(world, first)
    world.work([second])
    assert second.running
    world.deliver_order(world.orders.index(start))
