"""An owner of the pool in the histories of `ownershipmodel`."""

from peridotspoke.nodes.committing import MAX_JOBS_PER_COMMIT
from peridotspoke.nodes.grants import LeasePublication
from peridotspoke.nodes.predecessors import (
    Predecessor,
    find_lease_bound,
    find_published_bound,
)
from peridotspoke.nodes.records import ProcessRecord, QueueCounts
from peridotspoke.workloads.ledgertypes import LeaseBound, LedgerRules
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH
from peridotspoke.workloads.tests.modelcalls import (
    CALL_S,
    ModelOrder,
    ModelPoll,
    ModelPublication,
)
from peridotspoke.workloads.tests.modelexecutors import MAX_LEASE_S

__all__ = ["LEASE_TTL_S", "ModelOwner"]

LEASE_TTL_S = 5.0
HORIZON_S = 9.5  # longest time from an owner's publication to the end of a lease
UNSTATED_S = 12.5  # wait for the leases of an owner that published nothing
CLOCK_FACTOR = 1.0 / 0.98  # of a duration, as an executor's clock may be 2% slow
RULES = LedgerRules(
    inherited_lease=UNSTATED_S * CLOCK_FACTOR,
    margin=0.1,
    restart_excess=MAX_LEASE_S * CLOCK_FACTOR + CALL_S - LEASE_TTL_S,
    longest_lease=MAX_LEASE_S * CLOCK_FACTOR,
    run_lease=LEASE_TTL_S,
)


PROCESS = ProcessRecord("n1", "i1", "")


class ModelOwner:
    """An owner of the pool, with its ledger and the `CommitTracker` of its writes."""

    def __init__(self, world, fence):
        self.world = world
        self.fence = fence
        self.ledger = world.make_ledger("pool", fence, RULES, world.now)
        self.tracker = world.make_tracker()
        self.taken_over_at = world.now
        self.predecessor = None
        self.counts = None
        self.grants = world.make_grants(HORIZON_S, fence)
        self.known_number = world.publication_number

    def expect_late_ends(self, published, seen_at):
        """Take what was published of late calls, whoever the owner before was.

        Parameters
        ----------
        published : QueueCounts or None
        seen_at : float
            When this owner's node saw that, seconds.
        """
        waits = published.late if published is not None else {}
        ends = {name: seen_at + wait for name, wait in waits.items()}
        self.ledger.expect_late_ends(ends)

    def inherit(self, former, published, seen_at):
        """Take what was published before this owner began, as `InheritedLeases` does.

        Parameters
        ----------
        former : ModelOwner
            The owner before this one.
        published : QueueCounts or None
        seen_at : float
            When this owner's node saw that, seconds.
        """
        self.predecessor, self.counts = former, published
        predecessor = Predecessor(PROCESS, former.fence, publishes_first=True)
        bound = find_published_bound(predecessor, published, seen_at)
        if bound is not None:
            self.ledger.limit_inherited_leases(bound)
            waits = published.silent.items()
            self.ledger.expect_lease_ends(
                {name: seen_at + wait for name, wait in waits}
            )

    def publish(self):
        """Begin to publish, unless an answer is awaited; return the write or None."""
        world, now = self.world, self.world.now
        if any(
            item.owner is self and not item.timed_out for item in world.publications
        ):
            return None
        silent = self.ledger.list_silent(now)
        if world.withholds:
            self.grants.withhold(silent)
        wait = self.ledger.former_lease_end + RULES.margin - now
        is_known = world.states_earlier and self.fence > world.first_fence
        earlier = max(0.0, wait) if is_known else 0.0
        late = self.ledger.list_late_ends(now) if world.hands_on_late else {}
        counts = QueueCounts(self.fence, {}, 0.0, earlier, HORIZON_S, silent, late)
        write = ModelPublication(
            self, LeasePublication(now, silent), counts, self.known_number
        )
        world.publications.append(write)
        return write

    def limit_lease(self, executor_id):
        """Return until when a lease on an executor may last, seconds."""
        limit = self.grants.find_limit(executor_id)
        return min(self.world.now + LEASE_TTL_S, limit)

    def learn_of_end(self):
        """Limit the inherited leases if the owner before this one has been killed."""
        former = self.predecessor
        if former is None or former not in self.world.killed:
            return
        self.predecessor = None
        world = self.world
        seen_at = world.now if world.counts_from_sight else self.taken_over_at
        bound = find_lease_bound(
            Predecessor(PROCESS, former.fence),
            self.counts,
            self.taken_over_at,
            seen_at,
            RULES.run_lease,
        )
        if bound is not None:
            found = LeaseBound(bound, "ended process", seen_at)
            self.ledger.limit_inherited_leases(found)

    def plan(self):
        """Plan runs, begin to store the changes and acknowledge what is stored."""
        world, ledger = self.world, self.ledger
        plan_runs(ledger, world.now, WALL_EPOCH + world.now)
        being_stored = self.tracker.list_jobs()
        batch = ledger.take_batch(MAX_JOBS_PER_COMMIT, being_stored)
        if batch is not None:
            number = self.tracker.begin(batch.values, world.now)
            world.commits.append((self, batch, number))
        self.acknowledge_ends()

    def acknowledge_ends(self):
        """Let executors forget the ended runs whose effects are stored."""
        cursors = self.tracker.advance_cursors(
            self.ledger.list_end_cursors, self.ledger.dirty
        )
        if cursors is not None:
            self.ledger.acknowledge_ends(cursors)

    def send_stops(self):
        """Send each stop that is due and whose answer is not awaited."""
        under_way = {
            order.stop
            for order in self.world.orders
            if order.owner is self and not order.timed_out
        }
        for command in self.ledger.list_stops():
            order = command.order
            if order not in under_way:
                self.world.send(
                    ModelOrder(
                        self, command.executor_id, order.key, order.run, stop=order
                    )
                )

    def choose_fence(self, state):
        """Return the fence of a call to an executor with its `ExecutorState`."""
        if not self.world.raises_fence:
            return state.choose_fence(self.fence)
        return state.choose_fence(self.grants.fence)

    def may_start(self, run):
        """Return whether a start may be sent now, as `ExecutorSession` decides it."""
        state = self.ledger.executors[run.executor_id]
        self.choose_fence(state)
        is_meant = run.task.incarnation == state.incarnation
        is_ready = state.is_announced and state.has_own_fence
        has_lease = self.limit_lease(run.executor_id) >= self.world.now + LEASE_TTL_S
        return is_meant and is_ready and has_lease

    def choose_cursor(self, state):
        """Return the cursor that is sent to an executor with its `ExecutorState`.

        As in `ExecutorSession`, it is 0 if a later life may carry out a run, or the
        last call got no answer.
        """
        if self.world.limits_cursor:
            if not state.reachable or not state.has_own_fence:
                return 0
            if state.has_unconfirmed_run:
                return 0
        return state.acknowledged

    def make_poll(self, executor, extend):
        """Return a `ModelPoll`, and record the lease that it extends if asked.

        It is None if the ledger does not have the executor.
        """
        state = self.ledger.executors.get(executor.name)
        if state is None:
            return None
        fence, lease_end = self.choose_fence(state), None
        has_answered = state.has_own_fence or state.answered_at is not None
        may_extend = has_answered and self.limit_lease(executor.name) > self.world.now
        if extend and may_extend:
            lease_end = self.limit_lease(executor.name)
            self.ledger.extend_lease(executor.name, lease_end)
        return ModelPoll(
            self,
            executor.name,
            fence,
            self.choose_cursor(state),
            lease_end,
            state.incarnation,
            self.world.now,
        )

    def look(self, executor, extend):
        """Request a report, which is delivered later, and extend the lease if asked."""
        poll = self.make_poll(executor, extend)
        if poll is None:
            return
        report = executor.answer_poll(poll)
        if report.refusal is None:
            item = (self, executor.name, report, self.world.now, poll.fence)
            self.world.reports.append(item)

    def lose_poll(self, executor, extend):
        """Send a poll that gets no answer, and may be carried out late.

        As in `ExecutorSession`, the executor is unreachable from then on, and gets a
        higher fence if the poll lets ends be forgotten.
        """
        poll = self.make_poll(executor, extend)
        if poll is None:
            return
        self.world.polls.append(poll)
        self.ledger.note_unreachable(executor.name, "no answer", self.world.now)
        if poll.cursor and self.world.renews_fence:
            self.ledger.executors[executor.name].renew_fence()
