"""Components shared by the tasks of a node, and the clock for its leases."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from peridotspoke.clock import SystemClock
from peridotspoke.labels import BoundedLabels
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.commits import TimedCommits
from peridotspoke.nodes.predecessors import PublicationTimes
from peridotspoke.nodes.quotas import QuotaRecords
from peridotspoke.nodes.settings import NodeSettings
from peridotspoke.nodes.view import StoreView
from peridotspoke.workloads.returning import RefusedJobs

__all__ = ["BoottimeClock", "NodeParts", "compute_pause"]

CONTACT_TIMEOUT = 2.0  # seconds without a served call until the store counts as lost
ENTRY_GRACE_PERIOD = 2.3  # seconds after an outage in which executors renew entries
MAX_FAILURES = 3  # consecutive failed calls until the store counts as lost
RETURN_SPAN = 0.1  # seconds after the store's return in which retries are not put off
RETURN_PAUSE = 0.03  # seconds from one retry to the next in that span


def compute_pause(seconds, since_return):
    """Return the seconds until a failed call to the store is repeated.

    It answers the load of an outage's end: calls that failed many times by then. What
    has failed before the return says nothing of the store's state after it.

    Parameters
    ----------
    seconds : float
        The pause by the number of failures.
    since_return : float
        Seconds since the store last served again after an outage.

    Examples
    --------
    >>> compute_pause(0.4, since_return=0.01), compute_pause(0.4, since_return=3.0)
    (0.03, 0.4)
    """
    return min(seconds, RETURN_PAUSE) if since_return < RETURN_SPAN else seconds


class BoottimeClock(SystemClock):
    """The system's clocks; the monotonic one includes time while suspended."""

    def read_monotonic(self):
        """Return the seconds since boot, including time while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class NodeParts:
    """The components and state that a node's tasks share.

    Parameters
    ----------
    settings : NodeSettings
    clock : SystemClock
    view : StoreView
    metrics : MetricsRegistry
    chance : random.Random
        Source of the jitter of retries.
    store : KeyValueService
    commits : TimedCommits
    cancel_stale_calls : callable, optional
        Called when the store serves again after an outage, to end the calls that have
        been hanging since before, with the duration in seconds of the call that the
        store has served.
    ownership : Ownership
    open_executor : callable
        Returns the `ExecutorCalls` for an executor's entry.
    machines : object, optional
        The machine service; None if this node does not manage the fleet.
    advice : AdviceQueue or None, optional
        The calls to the advice service; None if there is none.
    last_served_at : float
        When the store last served a call, in monotonic seconds.
    store_failures : int
        Number of calls that have failed since.
    regained_at : float
        When the store last served again after an outage, in monotonic seconds.
    regained : asyncio.Event
        Set, and replaced, as the store serves again after an outage.
    refused_jobs : RefusedJobs
        The jobs that were refused while the store was away, until they are told.
    publication_times : PublicationTimes
        When this node saw what the pools' owners have published.
    fresh_reads : FreshReads
        Reads the configuration for callers that need a newer proof of it.
    workspace_labels : BoundedLabels
        The names of workspaces that metrics may show.
    quotas : QuotaRecords
        How the pools share the limits of workspaces.
    peers : tuple, optional
        Connections to the platform's services, closed as the node ends.
    """

    settings: NodeSettings
    clock: SystemClock
    view: StoreView
    metrics: MetricsRegistry
    chance: random.Random
    store: object = None
    commits: TimedCommits | None = None
    cancel_stale_calls: Callable | None = None
    ownership: object = None
    open_executor: Callable | None = None
    machines: object = None
    advice: object = None
    last_served_at: float = field(default=float("-inf"))
    store_failures: int = 0
    regained_at: float = field(default=float("-inf"))
    regained: asyncio.Event = field(default_factory=asyncio.Event)
    refused_jobs: RefusedJobs = field(default_factory=RefusedJobs)
    publication_times: PublicationTimes = field(default_factory=PublicationTimes)
    fresh_reads: object = None
    workspace_labels: BoundedLabels = field(default_factory=BoundedLabels)
    quotas: QuotaRecords = field(default_factory=QuotaRecords)
    peers: tuple = ()

    async def close_connections(self):
        """Close the connections to the platform's services."""
        for peer in self.peers:
            await peer.close()

    def render_metrics(self):
        """Return the metrics as bytes of text, with those that change by themselves."""
        configuration = self.view.configuration
        if configuration is not None and configuration.workspaces:
            age = self.clock.read_monotonic() - self.view.proved_at
            self.metrics.set_gauge("configuration_proof_age_seconds", age)
        return self.metrics.render()

    def has_store(self):
        """Return whether the store currently serves this node's calls.

        False after `CONTACT_TIMEOUT` seconds without a served call or after
        `MAX_FAILURES` consecutive failures.
        """
        age = self.clock.read_monotonic() - self.last_served_at
        return age < CONTACT_TIMEOUT and self.store_failures < MAX_FAILURES

    async def pause(self, seconds):
        """Wait before a failed call to the store is repeated; end at its return.

        Parameters
        ----------
        seconds : float
            The pause by the number of failures.
        """
        since_return = self.clock.read_monotonic() - self.regained_at
        with suppress(TimeoutError):
            async with asyncio.timeout(compute_pause(seconds, since_return)):
                await self.regained.wait()

    def find_outage_age(self):
        """Return the seconds since the store last served a call of this node.

        0 before it has served any, since nothing is known of an outage then.
        """
        if self.last_served_at == float("-inf"):
            return 0.0
        return self.clock.read_monotonic() - self.last_served_at

    def find_entry_grace_end(self):
        """Return the end of the grace period for entries after an outage, or None.

        Entries that disappear during an outage of the store may be renewed until
        then, in monotonic seconds.
        """
        end = self.regained_at + ENTRY_GRACE_PERIOD
        return end if self.clock.read_monotonic() < end else None

    def record_store_call(self, kind, result, served, size=0, seconds=0.0):
        """Record a call to the store in the metrics and in the store's status.

        A failure says nothing about the store if the call was sent before the store
        last came back: the return itself ends such calls.

        Parameters
        ----------
        kind : str
            Kind of the call, a metric label.
        result : str
            Its result, a metric label.
        served : bool
            Whether the store served the call.
        size : int, optional
            Size of the answer in bytes.
        seconds : float, optional
            Duration of the call.
        """
        self.metrics.count("store_calls", kind=kind, result=result)
        self.metrics.count("store_bytes", size, kind=kind)
        self.metrics.observe("store_call_seconds", seconds, kind=kind)
        had_store = self.has_store()
        now = self.clock.read_monotonic()
        if served:
            self.last_served_at = now
            self.store_failures = 0
        elif now - seconds >= self.regained_at:
            self.store_failures += 1
        if had_store != self.has_store():
            if served:
                self.regained_at = self.last_served_at
                self.regained.set()
                self.regained = asyncio.Event()
                if self.cancel_stale_calls is not None:
                    self.cancel_stale_calls(seconds)
            log_event(
                "store-regained" if served else "store-lost",
                "INFO" if served else "WARNING",
                kind=kind,
                result=result,
                failures=self.store_failures,
            )
