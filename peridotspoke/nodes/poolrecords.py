"""The records by which a pool's owner deals with the fleet's owner, and old jobs."""

import asyncio

from msgspec import structs

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import (
    key_cancel,
    key_identity,
    key_job,
    key_owner,
    key_pool_state,
    key_progress,
    key_waiting,
    key_withdrawal,
)
from peridotspoke.nodes.view import QueueCounts, encode_value
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.demand import ArrivalRate, describe_demand
from peridotspoke.workloads.scheduling import list_timings, sum_ready
from peridotspoke.workloads.sizing import SizingRules
from peridotspoke.workloads.urgency import compute_chain, compute_timing

__all__ = ["PoolRecords"]

REMOVAL_INTERVAL = 5.0  # seconds between two removals of old jobs
REMOVAL_MARGIN = 30.0  # seconds that records outlive what callers may ask for
MOST_REMOVED = 7  # jobs of four keys each, and the owner's, in 32 entries
MARK_PAUSE = 0.3  # seconds in which a stored mark comes back by the watch
DEMAND_INTERVAL = 0.15  # seconds between two descriptions of the pool's demand
DEMAND_AGE = 1.0  # seconds after which an unchanged demand is described again
DEMAND_STEP = 0.1  # share of the demand below which a change is not described
LENT_SHARE = 0.5  # of the fleet, that one pool may get
ORDER_TIME = 0.2  # seconds from a demand to the orders that it causes


class PoolRecords:
    """Describes the pool's demand, marks empty executors, removes old jobs.

    Parameters
    ----------
    node : NodeParts
    holding : Holding
    jobs : PoolJobs
    ledger : PoolLedger
    tasks : TaskSet
    forget : callable
        Called with the identity of each job whose records are removed.
    """

    def __init__(self, node, holding, jobs, ledger, tasks, forget):
        self._node = node
        self._holding = holding
        self._pool = holding.unit
        self._jobs = jobs
        self._ledger = ledger
        self._tasks = tasks
        self._forget = forget
        self._marking = set()
        lead = ORDER_TIME + node.settings.bounds.move
        self._arrivals = ArrivalRate(SizingRules().window, lead)
        self._described = None
        self._described_at = float("-inf")
        self._removed_at = node.clock.read_monotonic()

    def keep_withdrawals(self):
        """Empty what the fleet's owner withdraws, and tell it what is empty."""
        withdrawals = {
            machine: (withdrawal, revision)
            for machine, (withdrawal, revision) in self._node.view.withdrawals.items()
            if withdrawal.pool == self._pool
        }
        self._ledger.set_withdrawn(
            {withdrawal.executor_id for withdrawal, _ in withdrawals.values()}
        )
        for machine, (withdrawal, revision) in withdrawals.items():
            if withdrawal.empty or machine in self._marking:
                continue
            if not self._node.has_store():
                continue
            if self._ledger.is_empty(withdrawal.executor_id):
                self._marking.add(machine)
                self._tasks.spawn(self._mark_empty(machine, withdrawal, revision))

    async def _mark_empty(self, machine, withdrawal, revision):
        key = key_withdrawal(machine)
        owner = Condition(key_owner(self._pool), self._holding.fence)
        put = Put(key, encode_value(structs.replace(withdrawal, empty=True)))
        transaction = Transaction((owner, Condition(key, revision)), (put,))
        try:
            result = await self._node.store.commit(transaction)
            log_event(
                "executor-empty", pool=self._pool, machine=machine, stored=result.won
            )
            await asyncio.sleep(MARK_PAUSE)
        except PlatformError as error:
            log_event("executor-not-marked", "WARNING", machine=machine, error=error)
            await asyncio.sleep(MARK_PAUSE)
        finally:
            self._marking.discard(machine)

    def note_arrival(self, job):
        """Note the work of a job that was taken in, unless it came long ago.

        A new owner takes in all open jobs at once, which tells nothing of the rate.
        """
        age = self._node.clock.read_wall() - job.accepted_at
        if age > SizingRules().window:
            return
        predict = self._ledger.durations.predict
        durations = [predict(job.queue, step.estimate) for step in job.steps]
        work = sum(
            step.count * step.need.cpu / 1000 * duration
            for step, duration in zip(job.steps, durations, strict=True)
            if not step.lasting
        )
        chain = compute_chain(job, durations)
        slack = compute_timing(job, chain, chain, work, job.accepted_at).slack
        wait = SizingRules().slack_share * slack
        self._arrivals.note(work, self._node.clock.read_monotonic(), wait)

    def describe_demand(self, now):
        """Tell the fleet's owner what the pool needs, where that has changed."""
        if now - self._described_at < DEMAND_INTERVAL:
            return
        wall = self._node.clock.read_wall()
        timings = list_timings(self._ledger, wall)
        rate = self._arrivals.forecast(now)
        ready = sum_ready(self._ledger)
        demand = describe_demand(
            self._ledger, timings, ready, rate, self._sum_attainable()
        )
        fresh = now - self._described_at < DEMAND_AGE
        if fresh and not _differs(self._described, demand):
            return
        if "demand" not in self._tasks.under_way:
            self._described, self._described_at = demand, now
            log_event(
                "demand-described",
                pool=self._pool,
                cores=demand.cores,
                late_cores=demand.late_cores,
                ready=ready,
                rate=rate,
                spread=demand.spread,
                wait=demand.wait,
                executors=len(self._node.view.entries),
            )
            self._tasks.spawn_once("demand", self._store_demand(demand))

    def _sum_attainable(self):
        """Return the processors that the pool could get from the whole fleet."""
        entries = self._node.view.entries.values()
        return LENT_SHARE * sum(entry.capacity.cpu for entry in entries) / 1000

    async def _store_demand(self, demand):
        owner = Condition(key_owner(self._pool), self._holding.fence)
        age = self._jobs.find_age(self._node.clock.read_monotonic())
        waiting = dict(self._jobs.count_waiting())
        counts = QueueCounts(self._holding.fence, waiting, age)
        puts = (
            Put(key_pool_state(self._pool), encode_value(demand)),
            Put(key_waiting(self._pool), encode_value(counts)),
        )
        try:
            await self._node.store.commit(Transaction((owner,), puts))
        except PlatformError as error:
            self._described = None
            log_event("demand-not-stored", "WARNING", pool=self._pool, error=error)

    def remove_old(self, now):
        """Remove the records of jobs that ended long enough ago."""
        if (
            now - self._removed_at < REMOVAL_INTERVAL
            or "removal" in self._tasks.under_way
        ):
            return
        self._removed_at = now
        oldest = self._node.clock.read_wall() - self._node.settings.bounds.status
        old = [
            job_id
            for job_id, known in self._jobs.views.items()
            if known.summary is not None
            and known.summary.outcome
            and known.summary.ended_at < oldest - REMOVAL_MARGIN
        ]
        if old:
            self._tasks.spawn_once("removal", self._remove_all(old))

    async def _remove_all(self, job_ids):
        for start in range(0, len(job_ids), MOST_REMOVED):
            await self._remove_jobs(job_ids[start : start + MOST_REMOVED])

    async def _remove_jobs(self, job_ids):
        owner = Condition(key_owner(self._pool), self._holding.fence)
        keys = [key_identity(job_id) for job_id in job_ids]
        keys += [
            make_key(self._pool, job_id)
            for job_id in job_ids
            for make_key in (key_job, key_progress, key_cancel)
        ]
        try:
            result = await self._node.store.commit(
                Transaction((owner,), removals=tuple(keys))
            )
        except PlatformError as error:
            log_event("jobs-not-removed", "WARNING", pool=self._pool, error=error)
            return
        if result.won:
            for job_id in job_ids:
                self._forget(job_id)
            log_event("jobs-removed", pool=self._pool, jobs=len(job_ids))


def _differs(known, demand):
    """Return whether a demand differs from the known one by what matters."""
    if known is None or known.spread != demand.spread:
        return True
    if known.unusable != demand.unusable or set(known.removable) != set(
        demand.removable
    ):
        return True
    changes = (
        abs(known.cores - demand.cores),
        abs(known.late_cores - demand.late_cores),
    )
    return max(changes) > DEMAND_STEP * max(known.cores, known.late_cores, 1.0)
