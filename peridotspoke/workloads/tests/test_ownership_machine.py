"""Searches random histories of a pool's owners for violations of two rules.

A task has at most one run at a time, and none after its end was acknowledged. With
any one of the safeguards removed, the same search must find a violation.
"""

import pytest
from hypothesis import (
    HealthCheck,
    Phase,
    Verbosity,
    seed,
    settings,
    strategies as st,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.ledgers import make_job
from peridotspoke.workloads.tests.ownershipmodel import (
    ViolationError,
    World,
)
from peridotspoke.workloads.tests.weakenedledgers import (
    EarlyAcknowledgingLedger,
    InheritedRunDroppingLedger,
    LeaseIgnoringLedger,
    LostStartRetryingLedger,
    make_unbound_world,
)

STEPS = (Step(2, Need(1000, 100)), Step(1, Need(1000, 100), after=(0,)))
INDEX = st.integers(min_value=0, max_value=30)
SEARCH_SETTINGS = settings(
    max_examples=2500,
    stateful_step_count=25,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
    deadline=None,
    derandomize=True,
    database=None,
    print_blob=False,
    verbosity=Verbosity.quiet,
    suppress_health_check=list(HealthCheck),
)


# The search is derandomized: Hypothesis derives its seed from the source of the machine
# classes and orders the rules by name, so any edit of them searches other histories.
class OwnershipMachine(RuleBasedStateMachine):
    """Everything that may happen, in any order."""

    def __init__(self):
        super().__init__()
        self.world = World(make_job(*STEPS))
        self.world.settle_in()

    @rule()
    def work_with_all(self):
        self.world.work(self.world.executors)

    @rule(index=INDEX)
    def work_with_one(self, index):
        executors = self.world.executors
        self.world.work([executors[index % len(executors)]])

    @rule()
    def plan(self):
        self.world.owner.plan()

    @rule()
    def send_stops(self):
        self.world.owner.send_stops()

    @rule(index=INDEX, extend=st.booleans())
    def look(self, index, extend):
        executors = self.world.executors
        self.world.owner.look(executors[index % len(executors)], extend)

    @precondition(lambda self: self.world.retired)
    @rule(index=INDEX)
    def extend_as_former_owner(self, index):
        self.world.extend_as_former_owner(index)

    @precondition(lambda self: self.world.commits)
    @rule(index=INDEX)
    def deliver_commit(self, index):
        self.world.deliver_commit(index % len(self.world.commits))

    @precondition(lambda self: self.world.orders)
    @rule(index=INDEX)
    def deliver_order(self, index):
        self.world.deliver_order(index % len(self.world.orders))

    @precondition(lambda self: self.world.orders)
    @rule(index=INDEX)
    def give_up_order(self, index):
        self.world.give_up_order(index % len(self.world.orders))

    @precondition(lambda self: self.world.reports)
    @rule(index=INDEX)
    def deliver_report(self, index):
        self.world.deliver_report(index % len(self.world.reports))

    @rule(index=INDEX, kind=st.sampled_from([EndKind.DONE, EndKind.FAILED]))
    def finish_a_run(self, index, kind):
        held = [
            (executor, key)
            for executor in self.world.executors
            for key in executor.running
        ]
        if held:
            executor, key = held[index % len(held)]
            executor.finish(key, kind)

    @rule(index=INDEX)
    def lose_contact(self, index):
        executors = self.world.executors
        name = executors[index % len(executors)].name
        self.world.owner.ledger.note_unreachable(name, "cut", self.world.now)

    @precondition(lambda self: self.world.orders)
    @rule(index=INDEX)
    def lose_an_order_with_its_executor(self, index):
        order = self.world.orders[index % len(self.world.orders)]
        self.world.give_up_order(self.world.orders.index(order))
        order.owner.ledger.note_unreachable(order.executor, "cut", self.world.now)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 13.0]))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @rule()
    def take_over(self):
        self.world.take_over()

    @rule()
    def hand_over(self):
        self.world.hand_over()

    def teardown(self):
        """Let the owner, and then its successor, finish what the history began."""
        self.world.settle()
        self.world.take_over()
        self.world.settle()


class RestartingMachine(OwnershipMachine):
    """Executors also start again under their identity, and forget everything.

    Their next life may carry out late polls.
    """

    @rule(index=INDEX)
    def restart_an_executor(self, index):
        executors = self.world.executors
        executors[index % len(executors)].restart()

    @rule(index=INDEX)
    def lose_poll(self, index):
        self.world.lose_poll(index)

    @precondition(lambda self: self.world.polls)
    @rule(index=INDEX)
    def deliver_poll(self, index):
        self.world.deliver_poll(index % len(self.world.polls))

    @rule()
    def see_entries(self):
        world = self.world
        for executor in world.executors:
            world.owner.ledger.see_entry(world.describe(executor), world.now)


def run_search(machine):
    run_state_machine_as_test(machine, settings=SEARCH_SETTINGS)


def run_seeded_search(machine, number):
    drawn = settings(SEARCH_SETTINGS, derandomize=False)
    run_state_machine_as_test(seed(number)(machine), settings=drawn)


@pytest.mark.parametrize("machine", [OwnershipMachine, RestartingMachine])
def test_no_history_of_owners_breaks_a_rule(machine):
    """Messages may be late, lost or repeated, and owners may change at any time."""
    run_search(machine)


# Seeds with which the search once found a double run, or was too strict (see
# `ModelExecutor.lapsed`).
@pytest.mark.parametrize(
    ("machine", "number"),
    [
        (OwnershipMachine, 5),
        (RestartingMachine, 1),
        (RestartingMachine, 2),
        (RestartingMachine, 3),
    ],
)
def test_no_history_of_a_seed_that_once_failed_breaks_a_rule(machine, number):
    """The histories that these seeds draw change with the rules of the machine."""
    run_seeded_search(machine, number)


@pytest.mark.parametrize(
    ("ledger", "number"),
    [
        (LostStartRetryingLedger, 1),
        (LeaseIgnoringLedger, 2),
        (InheritedRunDroppingLedger, 1),
        (EarlyAcknowledgingLedger, 2),
    ],
)
def test_the_search_finds_a_violation_without_one_of_the_safeguards(ledger, number):
    """Each of these ledgers lacks one safeguard."""

    class Machine(OwnershipMachine):
        def __init__(self):
            super().__init__()
            self.world.make_ledger = ledger
            self.world.take_over()
            self.world.settle_in()

    with pytest.raises(ViolationError):
        run_seeded_search(Machine, number)


def deliver_fresh_report(world, executor):
    """Let the owner receive a report of an executor, and publish that it answers."""
    world.meet([executor])


def deliver_late_write(world):
    """Deliver a former owner's write after its successor has started runs."""
    first, second = world.executors
    deliver_fresh_report(world, first)
    world.owner.plan()
    world.take_over()
    world.work([second])
    world.deliver_commit(0)
    world.take_over()
    world.work([first])


def deliver_late_start(world):
    """Deliver a former owner's start after its successor has started the task."""
    first, second = world.executors
    deliver_fresh_report(world, first)
    world.owner.plan()
    world.deliver_commit(0)
    world.take_over()
    deliver_fresh_report(world, first)
    world.owner.ledger.note_unreachable(first.name, "cut", world.now)
    world.work([second])
    world.deliver_order(0)


def extend_after_statement(world):
    """Let an owner that has stated its leases extend one that its successor awaits."""
    first, second = world.executors
    world.settle_in()
    deliver_fresh_report(world, first)
    world.owner.plan()
    world.deliver_commit(0)
    while world.orders:
        world.deliver_order(0)
    world.hand_over()
    world.owner.ledger.note_unreachable(first.name, "cut", world.now)
    world.pass_time(4.0)
    world.extend_as_former_owner(0)
    world.pass_time(4.0)
    world.work([second])


@pytest.mark.parametrize(
    ("scenario", "safeguard"),
    [(deliver_late_write, "checks_fence"), (deliver_late_start, "raises_fence")],
)
def test_a_former_owner_does_no_harm_only_because_of_the_fence(scenario, safeguard):
    """Writes are conditional on the owner's record, and executors check the fence.

    Without either check, a late write or a late start makes a task run twice.
    """
    scenario(make_unbound_world(*STEPS))
    world = make_unbound_world(*STEPS)
    setattr(world, safeguard, False)
    with pytest.raises(ViolationError):
        scenario(world)


def test_a_stopped_owner_does_no_harm_only_because_it_extends_no_lease():
    """Its successor waits just as long as it stated."""
    extend_after_statement(make_unbound_world(*STEPS))
    world = make_unbound_world(*STEPS)
    world.stops_extending = False
    with pytest.raises(ViolationError):
        extend_after_statement(world)
