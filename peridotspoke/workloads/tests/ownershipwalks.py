"""Random walks through the histories of `ownershipmodel`, and their reduction.

A walk is a tuple of `Action`, drawn from a seed. Walks are several times as fast as a
search by Hypothesis, so that they reach faults that need six or more certain actions in
a row; each walk leaves some kinds of action out, so that the others come together.
"""

import random
from dataclasses import dataclass

from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.lateactions import LATE_KINDS, pick
from peridotspoke.workloads.tests.ledgers import make_job
from peridotspoke.workloads.tests.ownershipmodel import (
    ViolationError,
    World,
)

__all__ = ["Action", "draw_walk", "find_violation", "play_walk", "reduce_walk"]

NEED = Need(1000, 100)
ONE_TASK = (Step(1, NEED),)
TWO_STEPS = (Step(2, NEED), Step(1, NEED, after=(0,)))
TWO_TASKS = (Step(1, NEED), Step(1, NEED, after=(0,)))
LASTING_TASK = (Step(1, NEED, lasting=True),)
ONE_TASK_SHARE = 0.6  # of the walks; the others run TWO_STEPS
KIND_SHARE = 0.75  # of the kinds of action that a walk uses
ACTIONS = range(6, 26)  # number of actions in a walk
MAX_INDEX = 60
PAUSES = (0.1, 1.0, 4.0, 13.0)  # seconds
ENDS = (EndKind.DONE, EndKind.FAILED)


@dataclass(frozen=True, slots=True)
class Action:
    """One action of a walk.

    Parameters
    ----------
    kind : str
        Name of a function of `KINDS`.
    index : int
        Selects the executor, the message or the pause, modulo their number.
    """

    kind: str
    index: int


def work_with_all(world, index):
    world.work(world.executors)


def work_with_one(world, index):
    world.work([pick(world.executors, index)])


def plan(world, index):
    world.owner.plan()


def send_stops(world, index):
    world.owner.send_stops()


def request_report(world, index):
    executor = pick(world.executors, index)
    world.owner.look(executor, extend=index % 4 < 2)


def extend_as_former_owner(world, index):
    world.extend_as_former_owner(index)


def deliver_commit(world, index):
    if world.commits:
        world.deliver_commit(index % len(world.commits))


def deliver_order(world, index):
    if world.orders:
        world.deliver_order(index % len(world.orders))


def give_up_order(world, index):
    if world.orders:
        world.give_up_order(index % len(world.orders))


def lose_order_with_executor(world, index):
    if world.orders:
        order = pick(world.orders, index)
        world.give_up_order(world.orders.index(order))
        order.owner.ledger.note_unreachable(order.executor, "cut", world.now)


def deliver_report(world, index):
    if world.reports:
        world.deliver_report(index % len(world.reports))


def finish_run(world, index):
    held = [(executor, key) for executor in world.executors for key in executor.running]
    if held:
        executor, key = pick(held, index)
        kind = pick(ENDS, index // len(held))
        if world.job.steps[key.step].lasting:
            kind = EndKind.FAILED
        executor.finish(key, kind)


def lose_contact(world, index):
    name = pick(world.executors, index).name
    world.owner.ledger.note_unreachable(name, "cut", world.now)


def pass_time(world, index):
    world.pass_time(pick(PAUSES, index))


def take_over(world, index):
    world.take_over()


def hand_over(world, index):
    world.hand_over()


def kill_former_owner(world, index):
    world.kill_former_owner(index)


def learn_of_end(world, index):
    world.owner.learn_of_end()


def take_over_cut_off(world, index):
    world.take_over()
    lose_contact(world, index)


def kill_with_notice(world, index):
    world.kill_former_owner(index)
    world.owner.learn_of_end()


def restart_executor(world, index):
    pick(world.executors, index).restart()


def publish(world, index):
    world.publish()


def begin_publication(world, index):
    world.owner.publish()


def deliver_publication(world, index):
    if world.publications:
        world.deliver_publication(index % len(world.publications))


def lose_publication(world, index):
    for write in world.publications:
        write.timed_out = True


def lose_poll(world, index):
    world.lose_poll(index)


def deliver_poll(world, index):
    if world.polls:
        world.deliver_poll(index % len(world.polls))


def see_entries(world, index):
    for executor in world.executors:
        world.owner.ledger.see_entry(world.describe(executor), world.now)


STEADY_KINDS = (
    work_with_all,
    work_with_one,
    plan,
    send_stops,
    request_report,
    extend_as_former_owner,
    deliver_commit,
    deliver_order,
    give_up_order,
    lose_order_with_executor,
    deliver_report,
    finish_run,
    lose_contact,
    pass_time,
    take_over,
    publish,
    begin_publication,
    deliver_publication,
    lose_publication,
)
STOP_KINDS = (hand_over,)
KILL_KINDS = (kill_former_owner, learn_of_end, take_over_cut_off, kill_with_notice)
RESTART_KINDS = (restart_executor, see_entries, lose_poll, deliver_poll)
KINDS = {
    kind.__name__: kind
    for kind in (*STEADY_KINDS, *STOP_KINDS, *KILL_KINDS, *RESTART_KINDS, *LATE_KINDS)
}


def draw_walk(source, restarts, stops=True, focus=(), steps=()):
    """Draw a walk.

    Parameters
    ----------
    source : random.Random
    restarts : bool
        Whether executors may restart.
    stops : bool, optional
        Whether owners may stop and state their leases.
    focus : tuple of str, optional
        Names of the kinds of action to draw from; by default a random part of all.
    steps : tuple of Step, optional
        Of the job that the owners run; drawn by default.

    Returns
    -------
    steps : tuple of Step
        Of the job that the owners run.
    actions : tuple of Action
    """
    drawn_steps = ONE_TASK if source.random() < ONE_TASK_SHARE else TWO_STEPS
    kinds = [*STEADY_KINDS, *((*STOP_KINDS, *KILL_KINDS) if stops else ())]
    kinds += RESTART_KINDS if restarts else ()
    if focus:
        chosen = [KINDS[name] for name in focus]
    else:
        chosen = [kind for kind in kinds if source.random() < KIND_SHARE] or kinds
    actions = tuple(
        Action(source.choice(chosen).__name__, source.randrange(MAX_INDEX))
        for _ in range(source.choice(ACTIONS))
    )
    return steps or drawn_steps, actions


def play_walk(steps, actions, weakening=None):
    """Play a walk, and then let the owner and a successor finish what it began.

    Parameters
    ----------
    steps : tuple of Step
    actions : iterable of Action
    weakening : Weakening, optional
        Safeguard to take out.

    Raises
    ------
    ViolationError
        If a rule is broken.
    """
    world = World(make_job(*steps))
    if weakening is not None:
        weakening.apply(world)
        world.take_over()
        world.first_fence = world.fence
    world.settle_in()
    for action in actions:
        KINDS[action.kind](world, action.index)
    world.settle()
    world.take_over()
    world.settle()


def find_violation(seed, walks, restarts, weakening=None, steps=(), focus=()):
    """Return the first of a number of walks that breaks a rule.

    Parameters
    ----------
    seed : int
    walks : int
        Maximum number of walks.
    restarts : bool
    weakening : Weakening, optional
    steps : tuple of Step, optional
        Of the job that the owners run; drawn by default.
    focus : tuple of str, optional
        Names of the kinds of action to draw from; by default those of the weakening.

    Returns
    -------
    tuple or None
        The job's steps, the actions and the `ViolationError`; None if no walk breaks
        a rule.
    """
    source = random.Random(seed)
    stops = weakening is None or weakening.stops
    if weakening is not None:
        focus = focus or weakening.focus
    for _ in range(walks):
        job_steps, actions = draw_walk(source, restarts, stops, focus, steps)
        try:
            play_walk(job_steps, actions, weakening)
        except ViolationError as error:
            return job_steps, actions, error
    return None


def reduce_walk(steps, actions, weakening=None):
    """Return the actions without those that the violation does not need."""
    kept = list(actions)
    shorter = True
    while shorter:
        shorter = False
        for position in reversed(range(len(kept))):
            candidate = kept[:position] + kept[position + 1 :]
            try:
                play_walk(steps, candidate, weakening)
            except ViolationError:
                kept, shorter = candidate, True
    return tuple(kept)
