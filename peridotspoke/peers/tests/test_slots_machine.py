"""Random orders of messages, losses and restarts never exceed an executor's slots."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import (
    settings,
    strategies as st,
)
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotspoke.exceptions import PeerError
from peridotspoke.peers.borrowedslots import SlotBorrower
from peridotspoke.peers.rights import LendingRight, LendingRightRules
from peridotspoke.peers.slots import LendingRules, SlotKeeper

SLOTS = 8
LEASE_TTL_S = 6.0
LENDING = LendingRules(loan_time=2.0, longest_request=5.0)
RIGHTS = LendingRightRules(promise_time=4.0, isolation_limit=30.0)
PROCESSES = 3
PROCESS_INDEXES = st.integers(0, PROCESSES - 1)


@dataclass
class Process:
    """One incarnation of an entry instance, with what it read and has yet to write."""

    name: str
    incarnation: int
    revision: int = 0
    grant: int = 0
    lease: int | None = None
    ends_at: float = 0.0
    listed: bool | None = None
    write: tuple | None = None
    running: list = field(default_factory=list)

    def __post_init__(self):
        self.identity = f"{self.name}@{self.incarnation}"
        self.right = LendingRight(self.identity, "z", RIGHTS)
        self.keeper = SlotKeeper(self.identity, "z", LENDING)
        self.borrower = SlotBorrower(self.name, self.incarnation, LENDING)


class SlotsMachine(RuleBasedStateMachine):
    """Entries of one zone and the platform's service, with steps in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.record = None
        self.leases = {}
        self.members = {}
        self.processes = [Process(f"e{n}", 1) for n in range(PROCESSES)]
        self.cut = set()
        self.executor = []
        self.requests = []
        self.answers = []

    def expire(self):
        self.leases = {k: v for k, v in self.leases.items() if v > self.now}
        self.members = {k: v for k, v in self.members.items() if v in self.leases}

    @rule(step=st.sampled_from([0.1, 0.5, 1.0, 1.9, 4.0, 7.0, 13.0, 31.0]))
    def advance(self, step):
        self.now += step
        self.executor = [end for end in self.executor if end > self.now]

    @rule(which=PROCESS_INDEXES)
    def switch_cut(self, which):
        self.cut ^= {which}

    @rule(which=PROCESS_INDEXES)
    def renew(self, which):
        process = self.processes[which]
        if which in self.cut:
            return
        self.expire()
        if process.lease not in self.leases:
            process.grant += 1
            process.lease = max([0, *self.leases, process.lease or 0]) + 1
            process.lease += 1000 * which
        self.leases[process.lease] = self.now + LEASE_TTL_S
        self.members[process.identity] = process.lease
        process.ends_at = self.now + LEASE_TTL_S
        process.right.note_lease(process.grant, process.ends_at)

    @rule(which=PROCESS_INDEXES)
    def learn(self, which):
        process = self.processes[which]
        if which not in self.cut and self.record is not None:
            process.right.take_record(self.record)
            process.revision = self.revision

    @rule(which=PROCESS_INDEXES)
    def propose(self, which):
        process = self.processes[which]
        if which in self.cut or process.write or process.lease is None:
            return
        asked_at = self.now
        self.expire()
        known = process.right.record
        listed = known is not None and known.keeper in self.members
        record = process.right.propose(
            sorted(self.members), process.grant, listed, asked_at
        )
        if record is not None:
            process.write = (record, process.revision, process.grant, process.ends_at)

    @rule(which=PROCESS_INDEXES, lost=st.booleans())
    def write(self, which, lost):
        process = self.processes[which]
        if which in self.cut or not process.write:
            return
        record, revision, grant, ends_at = process.write
        process.write = None
        succeeded = revision == self.revision
        if succeeded:
            self.revision += 1
            self.record = record
        if lost:
            process.right.apply_write_outcome(None, grant, ends_at)
            return
        taken = process.right.apply_write_outcome(succeeded, grant, ends_at)
        if succeeded:
            process.revision = self.revision
            if taken or process.keeper.epoch == 0:
                process.keeper.start_lending(record.epoch, self.now, taken)
            process.keeper.update_epoch(record.epoch)

    @rule(which=PROCESS_INDEXES, wanted=st.integers(0, 10), keeper=PROCESS_INDEXES)
    def ask(self, which, wanted, keeper):
        process = self.processes[which]
        self.note_use(process, wanted)
        epoch = process.borrower.get_epoch("z")
        promises = process.right.make_promise(epoch, self.now)
        request = process.borrower.make_request("z", self.now, promises)
        self.requests.append((process, keeper, request))

    def note_use(self, process, wanted):
        process.running = [end for end in process.running if end > self.now]
        used = len(process.running)
        process.borrower.record_use("x", "z", used, wanted, self.now)

    @rule(index=st.integers(0, 5), lost=st.booleans(), twice=st.booleans())
    def deliver_request(self, index, lost, twice):
        if not self.requests:
            return
        index = index % len(self.requests)
        sender, which, request = self.requests[index]
        if not twice:
            del self.requests[index]
        keeper = self.processes[which]
        if request.promises:
            elector = f"{request.borrower}@{request.incarnation}"
            keeper.right.take_promise(elector, request.epoch, request.keeper_time)
        if not keeper.right.may_lend(self.now):
            return
        try:
            answer = keeper.keeper.lend(request, {"x": SLOTS}, self.now)
        except PeerError:
            return
        if not lost:
            self.answers.append((sender, request, answer))

    @rule(index=st.integers(0, 5), twice=st.booleans())
    def deliver_answer(self, index, twice):
        if self.answers:
            index = index % len(self.answers)
            sender, request, answer = self.answers[index]
            if not twice:
                del self.answers[index]
            sender.borrower.take_answer(request, answer, self.now)

    @rule(which=PROCESS_INDEXES, length=st.sampled_from([0.5, 2.0, 5.0]))
    def send(self, which, length):
        process = self.processes[which]
        self.note_use(process, SLOTS)
        share = process.borrower.get_share("x", self.now)
        for _ in range(share - len(process.running)):
            process.running.append(self.now + length)
            self.executor.append(self.now + length)

    @rule(which=PROCESS_INDEXES)
    def restart(self, which):
        process = self.processes[which]
        self.processes[which] = Process(process.name, process.incarnation + 1)

    @rule(which=PROCESS_INDEXES, other=PROCESS_INDEXES)
    def serve(self, which, other):
        """Perform the fault-free sequence, so that runs reach later states."""
        self.renew(which)
        self.learn(which)
        self.propose(which)
        self.write(which, False)
        self.learn(other)
        self.ask(other, SLOTS, which)
        self.deliver_request(len(self.requests) - 1, False, False)
        self.deliver_answer(len(self.answers) - 1, False)
        self.send(other, 5.0)

    @invariant()
    def limit_holds(self):
        assert len(self.executor) <= SLOTS


SlotsMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=50)
TestSlots = SlotsMachine.TestCase


def run_random_walk(seed, steps):
    """Take weighted random steps, most of them from the fault-free sequence."""
    generator = random.Random(seed)
    machine = SlotsMachine()

    def pick():
        return generator.randrange(PROCESSES)

    def flip(share):
        return generator.random() < share

    actions = {
        lambda: machine.serve(pick(), pick()): 12,
        lambda: machine.advance(generator.choice([0.1, 0.5, 1.0, 1.9])): 10,
        lambda: machine.advance(generator.choice([4.0, 7.0])): 2,
        lambda: machine.advance(31.0): 0.1,
        lambda: machine.switch_cut(pick()): 1,
        lambda: machine.renew(pick()): 5,
        lambda: machine.learn(pick()): 3,
        lambda: machine.propose(pick()): 4,
        lambda: machine.write(pick(), flip(0.2)): 4,
        lambda: machine.ask(pick(), generator.randrange(9), pick()): 6,
        lambda: machine.deliver_request(pick(), flip(0.2), flip(0.2)): 6,
        lambda: machine.deliver_answer(pick(), flip(0.2)): 6,
        lambda: machine.send(pick(), generator.choice([0.5, 5.0])): 6,
        lambda: machine.restart(pick()): 0.2,
    }
    weights = list(actions.values())
    for action in generator.choices(list(actions), weights, k=steps):
        action()
        machine.limit_holds()
    return machine


@pytest.mark.parametrize("seed", range(20))
def test_limit_holds_in_random_walks(seed):
    epochs = [run_random_walk(seed * 1000 + n, 500).record.epoch for n in range(40)]
    assert max(epochs) > 3
