"""A model of a pool's owners, its executors and the store, for random histories.

Orders, answers and writes can take effect in any order and at any time; owners
change, executors restart and time passes. The model raises `ViolationError` when a
rule is broken.
"""

from peridotspoke.nodes.committing import CommitTracker
from peridotspoke.nodes.grants import LeaseGrants
from peridotspoke.store import Record
from peridotspoke.workloads.executors import EndKind, Refusal
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import decode_progress
from peridotspoke.workloads.tests.ledgers import make_entry
from peridotspoke.workloads.tests.modelcalls import ModelOrder
from peridotspoke.workloads.tests.modelexecutors import ModelExecutor
from peridotspoke.workloads.tests.modelnetwork import ModelNetwork
from peridotspoke.workloads.tests.modelowners import LEASE_TTL_S, ModelOwner

__all__ = ["ViolationError", "World"]

SETTLED_S = 13.0  # longer than the longest lease lasts on the slowest clock
MEETINGS = 4  # a life is seen, then answers by its own fence, then that is published


class ViolationError(AssertionError):
    """A task ran twice at the same time, or again after its end was acknowledged."""


class World(ModelNetwork):
    """The whole state of the model, which no owner knows; it checks the rules.

    Attributes
    ----------
    now : float
        Seconds.
    owner : ModelOwner
        The latest owner.
    retired : list of ModelOwner
        Former owners that may extend leases.
    stored : bytes or None
        Stored progress of the job.
    revision : int
        Counts the writes of owners' records and publications, as the store does;
        owners' fences are taken from it.
    fence : int
        Fence of the latest owner.
    orders : list of ModelOrder
        Orders under way.
    polls : list of ModelPoll
        Polls under way, which get no answer any more.
    reports : list of tuple
        Reports under way: the owner, the executor's name, the `RunReport`, when it was
        requested and the fence of the request.
    publications : list of ModelPublication
        Publications under way.
    published : QueueCounts or None
        The latest publication in the store.
    publication_number : int
        Revision of the latest publication that the store has taken.
    published_at : float
        When all nodes saw the latest one, seconds.
    commits : list of tuple
        Writes under way: the owner, the `StoredBatch` and the commit's number.
    done : dict of TaskKey to list
        Completed runs: the executor's name, its incarnation and the `EndedRun`.
    acknowledged : dict of TaskKey to str
        Tasks of which a completed run was acknowledged, and on which executor.
    restarted : set of tuple
        Completed runs whose task was started again: the executor's name, its
        incarnation and the number of the ended run.
    make_ledger : callable
        Makes the ledger of each new owner.
    make_tracker : callable
        Makes the tracker of each new owner's writes.
    make_grants : callable
        Makes the grants of each new owner.
    checks_fence : bool
        Whether the store rejects the writes of former owners.
    raises_fence : bool
        Whether each new owner gets a higher fence.
    checks_permission : bool
        Whether a former owner sends no order once it may not.
    limits_cursor : bool
        Whether owners let an executor forget ends only while it has not restarted.
    stops_extending : bool
        Whether an owner that has stated its leases extends none any more.
    killed : list of ModelOwner
        Former owners whose process has been killed.
    counts_from_sight : bool
        Whether the wait for a killed owner's leases counts from when its end is seen.
    states_earlier : bool
        Whether owners say how long the leases of those before them may last.
    withholds : bool
        Whether an owner grants no lease on executors that it may have published as
        silent.
    chains_publications : bool
        Whether the store takes only publications that name the one before them.
    ages_from_sight : bool
        Whether a new owner counts from when the last publication was seen, and not
        from when the one before was.
    hands_on_late : bool
        Whether owners publish how long leases may last that late calls have granted.
    renews_fence : bool
        Whether a start after a lost poll with a cursor has a higher fence.
    first_fence : int
        Fence of the first owner, before which no lease was granted.
    """

    def __init__(self, job, executors=2):
        self.now = 0.0
        self.job = job
        self.executors = [ModelExecutor(f"i{n}", self) for n in range(executors)]
        self.stored = None
        self.revision = self.fence = 0
        self.orders, self.polls, self.reports, self.commits = [], [], [], []
        self.publications, self.published = [], None
        self.publication_number, self.published_at = 0, 0.0
        self.done, self.acknowledged, self.restarted = {}, {}, set()
        self.make_ledger = PoolLedger
        self.make_tracker = CommitTracker
        self.make_grants = LeaseGrants
        self.checks_fence = self.raises_fence = self.checks_permission = True
        self.limits_cursor = self.stops_extending = True
        self.counts_from_sight = self.states_earlier = True
        self.withholds = self.chains_publications = self.ages_from_sight = True
        self.hands_on_late = self.renews_fence = True
        self.first_fence = 1
        self.owner, self.retired, self.killed = None, [], []
        self.take_over()

    def take_over(self):
        """Let a new owner with a higher fence begin from what is stored.

        The former one may not know of it yet, and go on extending leases.
        """
        former = self.owner
        if former is not None:
            self.retired.append(former)
        self._begin_ownership({}, former if self.raises_fence else None)

    def kill_former_owner(self, index):
        """Kill a former owner, which extends no lease any more."""
        if self.retired:
            self.killed.append(self.retired.pop(index % len(self.retired)))

    def hand_over(self):
        """Let the owner stop and state the leases that are left; the next begins."""
        waits = self.owner.ledger.list_lease_waits(self.now)
        if not self.stops_extending:
            self.retired.append(self.owner)
        self._begin_ownership({name: self.now + wait for name, wait in waits.items()})

    def extend_as_former_owner(self, index):
        """Let a former owner extend the lease of an executor, if one may."""
        if self.retired:
            count = len(self.executors)
            owner = self.retired[index // count % len(self.retired)]
            owner.look(self.executors[index % count], extend=True)

    def _begin_ownership(self, stated_ends, former=None):
        if self.raises_fence or not self.fence:
            self.revision += 1
            self.fence = self.revision
        self.owner = ModelOwner(self, self.fence)
        self.owner.ledger.expect_lease_ends(stated_ends)
        self.owner.expect_late_ends(self.published, self.published_at)
        if former is not None:
            self.owner.inherit(former, self.published, self.published_at)
        for executor in self.executors:
            self.owner.ledger.see_entry(self.describe(executor), self.now)
        record = self.stored and Record("progress", self.stored, 1)
        self.owner.ledger.add_job(decode_progress(self.job, record))

    def describe(self, executor):
        """Return the `ExecutorEntry` of an executor."""
        return make_entry(executor.name, incarnation=executor.incarnation)

    def deliver_publication(self, index):
        """Let a publication take effect, and be answered unless it has timed out."""
        write = self.publications.pop(index)
        is_taken = write.owner is self.owner
        if self.chains_publications:
            is_taken = is_taken and write.replaces == self.publication_number
        if is_taken:
            previous_at, self.published_at = self.published_at, self.now
            if not self.ages_from_sight:
                self.published_at = previous_at
            self.published = write.counts
            self.revision += 1
            self.publication_number = self.revision
        if not write.timed_out:
            write.owner.known_number = self.publication_number
            if is_taken:
                publication = write.publication
                write.owner.grants.confirm(publication, self.publication_number)
                write.owner.ledger.note_published(publication.begun_at)

    def publish(self):
        """Let the owner publish without loss, unless an answer is awaited."""
        write = self.owner.publish()
        if write is None:
            return
        self.deliver_publication(self.publications.index(write))
        if self.owner.grants.find_limit("") < self.now + LEASE_TTL_S:
            self.deliver_publication(self.publications.index(self.owner.publish()))

    def deliver_commit(self, index):
        """Let a write take effect and its owner send the starts that waited for it."""
        owner, batch, number = self.commits.pop(index)
        if owner is not self.owner and self.checks_fence:
            return
        for value in batch.values.values():
            self.stored = value
        owner.tracker.end(number)
        for run in owner.ledger.note_stored(batch):
            if not owner.may_start(run):
                owner.ledger.apply_start_answer(run, Refusal.LATE, self.now)
                continue
            lease_end = owner.limit_lease(run.executor_id)
            owner.ledger.extend_lease(run.executor_id, lease_end)
            order = ModelOrder(owner, run.executor_id, run.key, run.number, run)
            order.lease_end = lease_end
            self.send(order)

    def work(self, executors):
        """Exchange all messages between the owner and some executors, without loss."""
        self.meet(executors)
        self.owner.plan()
        self.owner.send_stops()
        for commit in [item for item in self.commits if item[0] is self.owner]:
            self.deliver_commit(self.commits.index(commit))
        names = {executor.name for executor in executors}
        for order in [order for order in self.orders if order.owner is self.owner]:
            if order.executor in names:
                self.deliver_promptly(order)

    def meet(self, executors):
        """Let the owner hear of executors until it has published what it heard."""
        for _ in range(MEETINGS):
            self.publish()
            for executor in executors:
                self.owner.look(executor, extend=True)
            while self.reports:
                self.deliver_report(0)
            if not self.owner.ledger.needs_publication(self.owner.grants.fence):
                break

    def settle_in(self):
        """Let the owner know its executors for so long that no late call matters.

        Without that each lease is awaited as if a late call had just prolonged it.
        """
        self.meet(self.executors)
        self.pass_time(SETTLED_S)

    def pass_time(self, seconds):
        """Let time pass, leases expire and the owner note it."""
        self.now += seconds
        for executor in self.executors:
            executor.lapse()
        self.owner.ledger.expire_leases(self.now)

    def settle(self):
        """Deliver all that is under way, in order, and exchange messages twice.

        Orders whose call to an earlier life is over are lost.
        """
        while self.polls:
            self.deliver_poll(0)
        while self.reports:
            self.deliver_report(0)
        while self.commits:
            self.deliver_commit(0)
        for order in list(self.orders):
            self.deliver_promptly(order)
        self.orders.clear()
        for _ in range(2):
            self.work(self.executors)

    def check_start(self, key, executor):
        """Raise `ViolationError` if a task may not start now; note if it ran before."""
        for other in self.executors:
            if key in other.running:
                raise ViolationError(f"{key} runs on {other.name} and {executor.name}")
        if key in self.acknowledged:
            raise ViolationError(f"{key} starts after its end was acknowledged")
        for item in self.done.get(key, ()):
            self.restarted.add((item[0], item[1], item[2].number))

    def acknowledge_end(self, executor, end):
        """Note that an end was acknowledged; raise if its task was started again."""
        if end.kind is EndKind.DONE:
            self.acknowledged[end.key] = executor.name
            if (executor.name, executor.incarnation, end.number) in self.restarted:
                raise ViolationError(
                    f"{end.key} was started again after a completed run"
                )
