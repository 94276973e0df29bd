"""Publishes a pool's demand, its waiting jobs and the bounds of its owner's leases.

The records are written together. Each write names the one before it, so that one that
is carried out late can't replace a newer one.
"""

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.grants import LeaseGrants, LeasePublication
from peridotspoke.nodes.keys import key_owner, key_pool_demand, key_queue_counts
from peridotspoke.nodes.records import QueueCounts, encode_value
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["PoolPublisher"]

MAX_TRIES = 3  # writes of one publication whose predecessor turns out to be another


class PoolPublisher:
    """Stores what the owner of a pool publishes, one write after another.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the pool; each write is conditional on it.
    jobs : PoolJobs
    ledger : PoolLedger

    Attributes
    ----------
    grants : LeaseGrants
    """

    def __init__(self, node, holding, jobs, ledger):
        self._node = node
        self._holding = holding
        self._jobs = jobs
        self._ledger = ledger
        self._revision = 0
        self._silent = frozenset()
        horizon = node.settings.timing.lease_horizon
        self.grants = LeaseGrants(horizon, holding.fence)

    def has_changed(self, now):
        """Return whether a publication is due, because of what it tells of executors.

        Others are silent than those last published, or one takes no work before it.
        """
        if self._node.has_store() and self._ledger.needs_publication(self.grants.fence):
            return True
        return self._silent != frozenset(self._ledger.list_silent(now))

    async def store(self, demand):
        """Store the pool's demand and the rest; return whether it is stored.

        Parameters
        ----------
        demand : PoolDemand
        """
        pool = self._holding.unit
        try:
            for _ in range(MAX_TRIES):
                publication = self._begin()
                puts = (
                    Put(key_pool_demand(pool), encode_value(demand)),
                    Put(key_queue_counts(pool), self._encode_counts(publication)),
                )
                result = await self._node.store.commit(
                    Transaction(self._list_conditions(), puts)
                )
                if result.succeeded:
                    self._revision = result.revision
                    self.grants.confirm(publication, result.revision)
                    self._ledger.note_published(publication.begun_at)
                    self._count("stored")
                    return True
                if not self._learn_revision(result.current):
                    break
            self._count("refused")
        except PlatformError as error:
            self._count("unanswered")
            log_event("demand-not-stored", "WARNING", pool=pool, error=error)
        return False

    def _count(self, result):
        self._node.metrics.count("lease_publications", result=result)

    def _begin(self):
        """Return a `LeasePublication` of this moment, by which leases are withheld."""
        now = self._node.clock.read_monotonic()
        silent = self._ledger.list_silent(now)
        if frozenset(silent) != self._silent:
            log_event(
                "leases-withheld",
                pool=self._holding.unit,
                executors=",".join(sorted(silent)) or None,
                longest=max(silent.values(), default=None),
            )
        self._silent = frozenset(silent)
        self.grants.withhold(silent)
        return LeasePublication(now, silent)

    def _encode_counts(self, publication):
        now = publication.begun_at
        ledger = self._ledger
        earlier = ledger.former_lease_end + ledger.rules.margin - now
        return encode_value(
            QueueCounts(
                self._holding.fence,
                dict(self._jobs.count_waiting()),
                self._jobs.find_age(now),
                max(0.0, earlier),
                self._node.settings.timing.lease_horizon,
                publication.silent,
                ledger.list_late_ends(now),
            )
        )

    def _list_conditions(self):
        pool = self._holding.unit
        return (
            Condition(key_owner(pool), self._holding.fence),
            Condition(key_queue_counts(pool), self._revision),
        )

    def _learn_revision(self, current):
        """Take the revision of the record to replace from the store's refusal.

        Returns
        -------
        bool
            False if the pool has another owner, or none.
        """
        found = {record.key: record.revision for record in current}
        pool = self._holding.unit
        if found.get(key_owner(pool)) != self._holding.fence:
            return False
        self._revision = found.get(key_queue_counts(pool), 0)
        return True
