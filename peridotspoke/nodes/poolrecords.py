"""A pool owner's records in the store other than the progress of jobs.

They describe the pool's demand to the fleet's owner and mark executors as empty. The
records of jobs that ended long ago are removed here as well.
"""

import asyncio

from msgspec import UNSET, structs

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import (
    key_cancellation,
    key_identity,
    key_job,
    key_owner,
    key_progress,
    key_withdrawal,
)
from peridotspoke.nodes.poolshares import read_weights
from peridotspoke.nodes.publishing import PoolPublisher
from peridotspoke.nodes.records import encode_value
from peridotspoke.nodes.refusedwork import list_told
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.demand import ArrivalRate, count_executors, estimate_demand
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.returning import estimate_arrival, sum_returning
from peridotspoke.workloads.sharewaits import ShareInputs, SmoothedUses, sum_uses
from peridotspoke.workloads.sizing import SizingRules

__all__ = ["PoolRecords"]

REMOVAL_INTERVAL = 5.0  # seconds between two removals of old jobs
REMOVAL_MARGIN = 30.0  # seconds added to the time for which callers may ask for a job
MAX_REMOVED_JOBS = 7  # a transaction holds 32 entries: 4 for each job, 1 for the owner
MARK_DELAY = 0.3  # seconds until the watch has delivered a stored mark to the view
ESTIMATE_INTERVAL = 0.05  # seconds between two estimates of the pool's demand
MIN_DEMAND_INTERVAL = 0.15  # seconds between two writes of the pool's demand
MAX_DEMAND_INTERVAL = 1.0  # seconds after which an unchanged demand is written again
DEMAND_CHANGE = 0.1  # relative change of the demand above which it is written
WAIT_CHANGE = 0.5  # seconds; a workspace's wait that changes by more is written
ATTAINABLE_SHARE = 0.5  # largest share of the fleet's processors for one pool
ORDER_DELAY = 0.2  # seconds from writing a demand to the orders for machines


class PoolRecords:
    """Stores the pool's demand, marks empty executors and removes old jobs.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the pool; each write is conditional on it.
    jobs : PoolJobs
        The pool's jobs as read from the store.
    ledger : PoolLedger
    tasks : TaskSet
        Runs the writes.
    forget : callable
        Called with the identity of each job whose records have been removed.
    """

    def __init__(self, node, holding, jobs, ledger, tasks, forget):
        self._node = node
        self._holding = holding
        self._pool = holding.unit
        self._jobs = jobs
        self._ledger = ledger
        self._tasks = tasks
        self._forget = forget
        self._publisher = PoolPublisher(node, holding, jobs, ledger)
        self._machines_being_marked = set()
        lead = ORDER_DELAY + node.settings.bounds.move
        self._arrivals = ArrivalRate(SizingRules().window, lead)
        self._workspace_uses = SmoothedUses()
        self._last_demand = None
        self._last_demand_at = float("-inf")
        self._is_demand_sent = True
        self._last_estimate_at = float("-inf")
        self._last_removal_at = node.clock.read_monotonic()

    @property
    def grants(self):
        """The `LeaseGrants` by what has been published."""
        return self._publisher.grants

    def apply_withdrawals(self):
        """Apply the fleet owner's withdrawals to the ledger, and mark empty executors.

        The ledger gives no work to a withdrawn executor. Once the executor is empty,
        its withdrawal is marked so in the store.
        """
        withdrawals = {
            machine: (withdrawal, revision)
            for machine, (withdrawal, revision) in self._node.view.withdrawals.items()
            if withdrawal.pool == self._pool
        }
        self._ledger.set_withdrawn(
            {withdrawal.executor_id for withdrawal, _ in withdrawals.values()}
        )
        for machine, (withdrawal, revision) in withdrawals.items():
            if withdrawal.empty or machine in self._machines_being_marked:
                continue
            if not self._node.has_store():
                continue
            if self._ledger.is_empty(withdrawal.executor_id):
                self._machines_being_marked.add(machine)
                self._tasks.spawn(self._mark_empty(machine, withdrawal, revision))

    async def _mark_empty(self, machine, withdrawal, revision):
        key = key_withdrawal(machine)
        owner = Condition(key_owner(self._pool), self._holding.fence)
        put = Put(key, encode_value(structs.replace(withdrawal, empty=True)))
        transaction = Transaction((owner, Condition(key, revision)), (put,))
        try:
            result = await self._node.store.commit(transaction)
            log_event(
                "executor-empty",
                pool=self._pool,
                machine=machine,
                stored=result.succeeded,
            )
            await asyncio.sleep(MARK_DELAY)
        except PlatformError as error:
            log_event("executor-not-marked", "WARNING", machine=machine, error=error)
            await asyncio.sleep(MARK_DELAY)
        finally:
            self._machines_being_marked.discard(machine)

    def record_arrival(self, job):
        """Count a job's work towards the rate of arriving work.

        Jobs accepted before the rate's time window do not count: a new owner reads
        all open jobs at once, which says nothing about the rate.

        Parameters
        ----------
        job : Job
        """
        age = self._node.clock.read_wall() - job.accepted_at
        if age > SizingRules().window:
            return
        predict = self._ledger.durations.predict
        durations = [predict(job.queue, step.estimate) for step in job.steps]
        arrival = estimate_arrival(job, durations)
        now = self._node.clock.read_monotonic()
        self._arrivals.record(arrival.work, now, arrival.wait)

    def update_demand(self, now):
        """Publish the pool's demand and leases if they have changed or are old.

        While the store is away the demand is only logged: a write that hangs would hold
        back the first one after the store's return.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if now - self._last_demand_at < MIN_DEMAND_INTERVAL:
            return
        if now - self._last_estimate_at < ESTIMATE_INTERVAL:
            return
        self._last_estimate_at = now
        demand, inputs = self._estimate_demand(now)
        has_store = self._node.has_store()
        is_missed = has_store and not self._is_demand_sent
        is_recent = now - self._last_demand_at < MAX_DEMAND_INTERVAL
        has_changed = _has_changed(self._last_demand, demand)
        has_changed = has_changed or self._publisher.has_changed(now)
        if is_recent and not is_missed and not has_changed:
            return
        if "demand" not in self._tasks.running_names:
            self._last_demand, self._last_demand_at = demand, now
            self._is_demand_sent = has_store
            self._log_demand(demand, inputs)
            if has_store:
                self._tasks.spawn_once("demand", self._store_demand(demand))

    def _log_demand(self, demand, inputs):
        counts = count_executors(self._ledger)
        log_event(
            "demand-described",
            pool=self._pool,
            cores=demand.cores,
            late_cores=demand.late_cores,
            **inputs,
            spread=demand.spread,
            wait=demand.wait,
            listed=counts.listed,
            present=counts.present,
            reachable=counts.reachable,
        )

    def _estimate_demand(self, now):
        """Return the `PoolDemand` and the inputs that the log names, by name."""
        timings = list_timings(self._ledger, self._node.clock.read_wall())
        ready, rate = sum_ready(self._ledger), self._arrivals.forecast(now)
        returning = self._sum_returning(now)
        demand = estimate_demand(
            self._ledger,
            timings,
            ready,
            rate,
            self._sum_attainable(),
            SizingRules(),
            returning,
            self._measure_shares(now),
        )
        return demand, {"ready": ready, "rate": rate, "returning": returning}

    def _measure_shares(self, now):
        """Return the `ShareInputs` by the configuration, or None without workspaces."""
        configuration = self._node.view.configuration
        weights = read_weights(configuration)
        if weights is None:
            return None
        uses = self._workspace_uses.record(sum_uses(self._ledger), now)
        return ShareInputs(weights, uses, configuration.list_limits())

    def _sum_returning(self, now):
        """Return the processors for refused jobs that are about to come back.

        What this node refused itself counts before its record has been read again.
        """
        told = list_told(self._node.view, self._pool)
        refused = self._node.refused_jobs.list_current(now)
        own = (job for job in refused if job.pool == self._pool)
        return sum_returning((*told, *own), self._jobs.views, now)

    def _sum_attainable(self):
        """Return the number of processors that the pool could get from the fleet.

        Capacities are in thousandths of a processor. An entry of a pool that is not
        configured names no executor to use.
        """
        view = self._node.view
        pools = {pool.name for pool in view.configuration.pools}
        capacities = (
            entry.capacity.cpu for entry in view.entries.values() if entry.pool in pools
        )
        return ATTAINABLE_SHARE * sum(capacities) / 1000

    async def _store_demand(self, demand):
        if not await self._publisher.store(demand):
            self._last_demand = None

    def remove_old_jobs(self, now):
        """Start to remove the records of jobs that callers can no longer ask for.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if (
            now - self._last_removal_at < REMOVAL_INTERVAL
            or "removal" in self._tasks.running_names
        ):
            return
        self._last_removal_at = now
        oldest = self._node.clock.read_wall() - self._node.settings.bounds.status
        old = [
            job_id
            for job_id, job_view in self._jobs.views.items()
            if job_view.summary is not None
            and job_view.summary.outcome
            and job_view.summary.ended_at < oldest - REMOVAL_MARGIN
        ]
        if old:
            self._tasks.spawn_once("removal", self._remove_all(old))

    async def _remove_all(self, job_ids):
        for start in range(0, len(job_ids), MAX_REMOVED_JOBS):
            await self._remove_jobs(job_ids[start : start + MAX_REMOVED_JOBS])

    async def _remove_jobs(self, job_ids):
        owner = Condition(key_owner(self._pool), self._holding.fence)
        keys = [key_identity(job_id) for job_id in job_ids]
        keys += [
            make_key(self._pool, job_id)
            for job_id in job_ids
            for make_key in (key_job, key_progress, key_cancellation)
        ]
        try:
            result = await self._node.store.commit(
                Transaction((owner,), deletions=tuple(keys))
            )
        except PlatformError as error:
            log_event("jobs-not-removed", "WARNING", pool=self._pool, error=error)
            return
        if result.succeeded:
            for job_id in job_ids:
                self._forget(job_id)
            log_event("jobs-removed", pool=self._pool, jobs=len(job_ids))


def _has_changed(last, demand):
    """Return whether a demand differs enough from the stored one to be written."""
    if last is None or last.spread != demand.spread:
        return True
    if last.unusable != demand.unusable or set(last.removable) != set(demand.removable):
        return True
    changes = (
        abs(last.cores - demand.cores),
        abs(last.late_cores - demand.late_cores),
    )
    if max(changes) > DEMAND_CHANGE * max(last.cores, last.late_cores, 1.0):
        return True
    return _have_waits_changed(last.workspace_waits, demand.workspace_waits)


def _have_waits_changed(last, waits):
    """Return whether the waits of workspaces differ enough to be written."""
    if last is UNSET or waits is UNSET:
        return last is not waits
    for name in last.keys() | waits.keys():
        before, after = last.get(name, 0.0), waits.get(name, 0.0)
        if abs(before - after) > max(WAIT_CHANGE, DEMAND_CHANGE * before):
            return True
    return False
