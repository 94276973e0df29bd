"""Actions of `ownershipwalks` that take several steps each.

Without them late calls to later lives of an executor hardly ever do harm in a walk.
"""

from peridotspoke.workloads.executors import EndKind

__all__ = [
    "LATE_KINDS",
    "deliver_poll_cut_off",
    "hear_of_life",
    "lose_start",
    "lose_start_that_ends",
    "pick",
    "replace_owner_after_polls",
    "restart_with_lost_poll",
    "send_starts",
    "work_a_while",
    "work_while_cut_off",
]

WORKED_S = 4  # that `work_a_while` lasts
STOP_ANSWER_S = 0.1  # from the answer to a stop to the next report
CUT_OFF_S = 7  # that `work_while_cut_off` lasts


def pick(items, index):
    """Return the item at `index`, modulo the number of items."""
    return items[index % len(items)]


def restart_with_lost_poll(world, index):
    executor = pick(world.executors, index)
    world.publish()
    world.owner.lose_poll(executor, extend=True)
    executor.restart()


def deliver_poll_cut_off(world, index):
    if world.polls:
        poll = pick(world.polls, index)
        world.deliver_poll(world.polls.index(poll))
        world.owner.ledger.note_unreachable(poll.executor, "cut", world.now)


def replace_owner_after_polls(world, index):
    while world.polls:
        world.deliver_poll(0)
    world.take_over()
    world.kill_former_owner(len(world.retired) - 1)
    name = pick(world.executors, index).name
    world.owner.ledger.note_unreachable(name, "cut", world.now)
    world.publish()
    world.owner.learn_of_end()


def send_starts(world, index):
    for executor in world.executors:
        world.owner.look(executor, extend=True)
    while world.reports:
        world.deliver_report(0)
    for _ in range(2):  # the second time lets the stored ends be forgotten
        world.owner.plan()
        while world.commits:
            world.deliver_commit(0)


def lose_start(world, index):
    """Leave a start unanswered, and let its executor answer the stop that follows."""
    send_starts(world, index)
    starts = [item for item in world.orders if item.run and not item.timed_out]
    if not starts:
        return
    order = pick(starts, index)
    world.give_up_order(world.orders.index(order))
    world.owner.send_stops()
    for stop in [item for item in world.orders if item.stop]:
        world.deliver_order(world.orders.index(stop))
    world.pass_time(STOP_ANSWER_S)
    hear_of_life(world, world.executors.index(world.find_executor(order.executor)))


def lose_start_that_ends(world, index):
    if not world.orders:
        return
    order = pick(world.orders, index)
    world.give_up_order(world.orders.index(order))
    executor = world.find_executor(order.executor)
    executor.restart()
    world.deliver_order(world.orders.index(order))
    if order.key in executor.running:
        executor.finish(order.key, EndKind.DONE)


def hear_of_life(world, index):
    world.owner.look(pick(world.executors, index), extend=False)
    while world.reports:
        world.deliver_report(0)


def work_while_cut_off(world, index):
    cut_off = pick(world.executors, index)
    for _ in range(CUT_OFF_S):
        world.owner.ledger.note_unreachable(cut_off.name, "cut", world.now)
        world.pass_time(1.0)
        world.work([item for item in world.executors if item is not cut_off])


def work_a_while(world, index):
    for _ in range(WORKED_S):
        world.pass_time(1.0)
        world.work(world.executors)


LATE_KINDS = (
    restart_with_lost_poll,
    deliver_poll_cut_off,
    replace_owner_after_polls,
    send_starts,
    lose_start,
    lose_start_that_ends,
    hear_of_life,
    work_while_cut_off,
    work_a_while,
)
