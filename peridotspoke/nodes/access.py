"""Checks callers' API keys against the newest configuration."""

import asyncio

from peridotspoke.exceptions import PlatformError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.jobanswers import KeyRefused, RefusalCause
from peridotspoke.workloads.access import (
    Denied,
    Granted,
    Proof,
    StaleProof,
    UnprovedKey,
    decide_access,
    index_keys,
)
from peridotspoke.workloads.limits import describe_excess

__all__ = ["AccessChecks", "FreshReads"]

READ_INTERVAL = 0.25  # seconds between the starts of two reads of one node
LOG_INTERVAL = 1.0  # seconds between two lines of the same queue and cause
UNPROVED_REASON = "the configuration may be out of date"


class FreshReads:
    """Reads the configuration for callers that need a newer proof of it.

    At most one read is in flight, and one starts at most every `READ_INTERVAL`; all
    callers that arrived before a read was sent share it.

    Parameters
    ----------
    node : NodeParts
    codec : DocumentCodec
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.
    """

    def __init__(self, node, codec, sleep=asyncio.sleep):
        self._node = node
        self._codec = codec
        self._sleep = sleep
        self._pending = None
        self._started_at = float("-inf")

    async def prove(self, since):
        """Return once the node's configuration is proved newest as of a time.

        Parameters
        ----------
        since : float
            Monotonic seconds.

        Raises
        ------
        PlatformError
            If a read that was sent at that time or later failed.
        """
        while self._node.view.proved_at < since:
            if self._pending is None:
                self._pending = asyncio.ensure_future(self._read())
            sent_at, error = await asyncio.shield(self._pending)
            if error is not None and sent_at >= since:
                raise error

    async def _read(self):
        """Read the configuration; return when that was sent, and the error or None."""
        clock = self._node.clock
        try:
            wait = self._started_at + READ_INTERVAL - clock.read_monotonic()
            if wait > 0:
                await self._sleep(wait)
            sent_at = self._started_at = clock.read_monotonic()
            try:
                key = self._codec.configuration_key
                self._apply(await self._node.store.read(key), sent_at)
            except PlatformError as error:
                log_event("configuration-not-read", "WARNING", error=error)
                return sent_at, error
            return sent_at, None
        finally:
            self._pending = None

    def _apply(self, record, sent_at):
        if record is None:
            raise RecordError(
                "expected a configuration, found none", step="read configuration"
            )
        self._node.view.apply_configuration(self._codec.decode_configuration(record))
        self._node.view.confirm_configuration(sent_at)


class AccessChecks:
    """Decides for a node whether calls are served, and counts those that are not.

    Parameters
    ----------
    node : NodeParts
    refusals : Refusals
    """

    def __init__(self, node, refusals):
        self._node = node
        self._refusals = refusals
        self._indexed = None
        self._by_key = {}
        self._by_name = {}
        self._logged = {}

    @property
    def is_needed(self):
        """Whether the configuration has workspaces."""
        configuration = self._node.view.configuration
        return configuration is not None and bool(configuration.workspaces)

    async def check(self, find_queue, key):
        """Return the caller's workspace, or the answer to a call that is not served.

        Parameters
        ----------
        find_queue : callable
            Returns a tuple that begins with the call's queue, or the answer where
            there is none. Called again once the configuration has been read.
        key : CallerKey

        Returns
        -------
        found : object
            What `find_queue` returned last, or the refusal.
        workspace : str or None
            Empty for an anonymous caller; None where the configuration has no
            workspaces, or no workspace has the key of a refused call.
        """
        arrived_at = self._node.clock.read_monotonic()
        while True:
            found = find_queue()
            if not isinstance(found, tuple) or not self.is_needed:
                return found, None
            decision = self._decide(found[0], key, arrived_at)
            if isinstance(decision, Granted):
                return found, decision.workspace
            refusal = await self._settle(decision, found[0], arrived_at)
            if refusal is not None:
                return refusal, getattr(decision, "workspace", None)

    def describe_excess(self, job):
        """Return why a job's tasks never fit its workspace's limit, or None."""
        if not job.workspace:
            return None
        self._index_workspaces()
        return describe_excess(job, self._by_name.get(job.workspace))

    def is_proved(self, since):
        """Return whether the configuration is proved newest as of a time."""
        return self._node.view.proved_at >= since

    async def prove(self, since):
        """Prove the configuration newest as of a time; return a refusal if that fails.

        Parameters
        ----------
        since : float
            Monotonic seconds.

        Returns
        -------
        Refused or None
        """
        if not self._node.has_store():
            return self._refusals.refuse_away()
        try:
            await self._node.fresh_reads.prove(since)
        except PlatformError:
            return self._refusals.refuse(RefusalCause.UNPROVED, UNPROVED_REASON)
        return None

    def _decide(self, queue, key, arrived_at):
        self._index_workspaces()
        bound = self._node.settings.bounds.revocation
        proof = Proof(self._node.view.proved_at, bound)
        now = self._node.clock.read_monotonic()
        return decide_access(queue, key, self._by_key, proof, arrived_at, now)

    def _index_workspaces(self):
        """Index the workspaces, once for each configuration."""
        configuration = self._node.view.configuration
        if self._indexed is configuration:
            return
        self._indexed = configuration
        self._by_key = index_keys(configuration.workspaces)
        self._by_name = {item.name: item for item in configuration.workspaces}
        self._logged.clear()

    async def _settle(self, decision, queue, arrived_at):
        """Return the answer to a call that is not granted; None to decide it again."""
        match decision:
            case Denied(fault):
                self._node.metrics.count("keys_refused", cause=fault.name.lower())
                self._log("key-refused", "INFO", queue, cause=fault)
                return KeyRefused(fault)
            case StaleProof(workspace):
                self._log(
                    "configuration-unproved", "WARNING", queue, workspace=workspace
                )
                return self._refusals.refuse(RefusalCause.UNPROVED, UNPROVED_REASON)
            case UnprovedKey():
                refusal = await self.prove(arrived_at)
                if refusal is not None:
                    self._log("key-refused", "INFO", queue, cause=refusal.cause)
                return refusal

    def _log(self, event, level, queue, cause=None, workspace=None):
        """Log that a call was not served, at most one in `LOG_INTERVAL` of a kind.

        Anyone can send calls without a valid key, as many as the link carries.
        """
        now = self._node.clock.read_monotonic()
        kind = (event, queue.name, cause) if cause else (event,)
        logged_at, calls = self._logged.get(kind, (float("-inf"), 0))
        if now - logged_at < LOG_INTERVAL:
            self._logged[kind] = (logged_at, calls + 1)
            return
        self._logged[kind] = (now, 0)
        view = self._node.view
        log_event(
            event,
            level,
            queue=queue.name,
            workspace=workspace,
            cause=cause,
            calls=calls + 1,
            version=view.configuration.version,
            proof_age=now - view.proved_at,
            bound=self._node.settings.bounds.revocation or None,
        )
