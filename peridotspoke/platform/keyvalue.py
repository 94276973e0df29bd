"""Client of the platform's metadata store, as a `KeyValueService`."""

import base64
import binascii
from urllib.parse import quote

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    LeaseExpiredError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.platform.http import HTTP_OK, ReadLimits, decode_body
from peridotspoke.store import (
    Change,
    CommitResult,
    Condition,
    KeyValueService,
    Lease,
    Put,
    Record,
    Snapshot,
    SwapResult,
    Transaction,
    WatchBatch,
)

__all__ = ["MAX_TRANSACTION_ENTRIES", "MetadataStore", "WatchRules"]

MAX_TRANSACTION_ENTRIES = 32  # limit of the platform's "kv-txn" call
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONDITION_FAILED = 412
# The store refuses a call with one of these before the call has any effect.
NO_EFFECT_STATUSES = frozenset({400, 403, 410, 429, 503})


class _Item(msgspec.Struct, rename="camel"):
    key: str
    value: str = ""
    revision: int = 0
    created_rev: int = 0
    lease: int = 0
    deleted: bool = False

    def decode(self):
        """Return the `Record`; its value is empty if it is not base64.

        An empty value is unreadable to each reader of records, so that one such item
        does not hide the others of a response.
        """
        try:
            value = base64.b64decode(self.value, validate=True)
        except binascii.Error as error:
            log_event("item-unreadable", "ERROR", key=self.key, error=error)
            value = b""
        return Record(self.key, value, self.revision, self.lease, self.created_rev)


class _Items(msgspec.Struct, rename="camel"):
    items: list[_Item] = []
    events: list[_Item] = []
    has_more: bool = False
    as_of: int = 0
    revision: int = 0


class _GrantedLease(msgspec.Struct, rename="camel"):
    ttl_ms: int
    lease: int = 0


class WatchRules(msgspec.Struct, frozen=True):
    """Times of the long polls that make up a watch, in seconds.

    A prefix that has just changed is likely to change again soon. The poll after a
    change therefore uses the shorter `busy_wait`, so that a lost poll is noticed
    earlier.

    Parameters
    ----------
    wait : float, optional
        How long the store may wait for a change before it responds to a poll.
    busy_wait : float, optional
        The same for the first poll, and for a poll after one that returned changes.
    margin : float, optional
        Time for the response to arrive after the wait; the poll then times out.
    """

    wait: float = 1.5
    busy_wait: float = 0.4
    margin: float = 0.6


class MetadataStore(KeyValueService):
    """Client of the platform's metadata store.

    Parameters
    ----------
    peer : HttpPeer
        Connections to the store.
    clock : Clock
        Source of the monotonic times of leases and calls.
    timeout : float
        Limit of one call, in seconds. For a read, the limit of the time until the
        response begins, and of each pause while it arrives.
    watch_rules : WatchRules, optional
        Times of a watch's polls.
    on_call : callable, optional
        Called after each call with its kind (str), its result (str: the status, or
        the error's class), whether the store served it (bool), the size of the
        response in bytes (int) and its duration in seconds (float).
    """

    watch_is_complete = True

    def __init__(
        self,
        peer,
        clock,
        timeout,
        watch_rules=WatchRules(),
        on_call=None,
    ):
        self._peer = peer
        self._clock = clock
        self._timeout = timeout
        self._watch_rules = watch_rules
        self._on_call = on_call

    async def read(self, key):
        """Return the `Record` of `key`, or None where the key is absent."""
        response = await self._read(f"kv-key?key={quote(key)}", "key")
        if response.status == HTTP_NOT_FOUND:
            return None
        return self._decode(response, _Item, "kv-key").decode()

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of the keys that begin with `prefix`.

        The store returns them in pages. The snapshot has the revision of the first
        page, so that a watch from there also covers changes between the pages.
        """
        records, revision, after = [], None, ""
        while True:
            query = f"kv-range?prefix={quote(prefix)}"
            query += f"&after={quote(after)}" if after else ""
            response = await self._read(query, "range")
            page = self._decode(response, _Items, "kv-range")
            revision = page.as_of if revision is None else revision
            records += [item.decode() for item in page.items]
            if not page.has_more or not page.items:
                return Snapshot(tuple(records), revision)
            after = page.items[-1].key

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write or delete `key` if its revision is `expected_revision`.

        Parameters
        ----------
        key : str
        value : bytes or None
            None deletes the key.
        expected_revision : int
            The current revision of the key; 0 for an absent key.
        lease_id : int, optional
            The lease that the record is attached to; 0 for none.

        Returns
        -------
        SwapResult
        """
        puts = () if value is None else (Put(key, value, lease_id),)
        deletions = (key,) if value is None else ()
        condition = Condition(key, expected_revision)
        result = await self.commit(Transaction((condition,), puts, deletions))
        return SwapResult(result.succeeded, result.revision, result.find_current(key))

    async def commit(self, transaction, timeout=None):
        """Apply a `Transaction` atomically.

        Parameters
        ----------
        transaction : Transaction
        timeout : float, optional
            Limit of this call in seconds, in place of the client's limit.

        Returns
        -------
        CommitResult

        Raises
        ------
        LeaseExpiredError
            If a lease that the transaction names has expired; nothing is written.
        """
        body = {
            "expectedRev": [
                {"key": item.key, "revision": item.revision}
                for item in transaction.conditions
            ],
            "puts": [_encode_put(put) for put in transaction.puts],
            "remove": list(transaction.deletions),
        }
        response = await self._call("POST", "kv-txn", "commit", body, timeout)
        if response.status == HTTP_NOT_FOUND:
            raise LeaseExpiredError(
                "a lease named in the transaction has expired", step="commit"
            )
        result = self._decode(response, _Items, "kv-txn")
        if response.status == HTTP_OK:
            return CommitResult(True, result.revision)
        current = tuple(item.decode() for item in result.items if item.revision)
        return CommitResult(False, 0, current)

    async def grant_lease(self, ttl):
        """Return a new `Lease` with a time to live of `ttl` seconds."""
        sent_at = self._clock.read_monotonic()
        body = {"ttlMs": round(ttl * 1000)}
        response = await self._call("POST", "kv-lease", "grant", body)
        granted = self._decode(response, _GrantedLease, "kv-lease")
        return Lease(granted.lease, granted.ttl_ms / 1000, sent_at)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None if it has expired."""
        sent_at = self._clock.read_monotonic()
        response = await self._call("POST", f"kv-keep/{lease.lease_id}", "renew", {})
        if response.status == HTTP_NOT_FOUND:
            return None
        granted = self._decode(response, _GrantedLease, "kv-keep")
        return Lease(lease.lease_id, granted.ttl_ms / 1000, sent_at)

    async def revoke_lease(self, lease):
        """Revoke the lease; the store deletes the records attached to it."""
        await self._call("DELETE", f"kv-lease-end/{lease.lease_id}", "revoke")

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each response to a poll, also without changes.

        Parameters
        ----------
        prefix : str
        from_revision : int
            Changes after this revision are returned.

        Yields
        ------
        WatchBatch

        Raises
        ------
        PlatformUnavailableError
            If the store refuses a poll, also because it has compacted the revision.
        AnswerLostError
            If the response to a poll is late or unreadable.
        """
        rules = self._watch_rules
        revision, wait = from_revision, rules.busy_wait
        while True:
            query = (
                f"kv-watch?prefix={quote(prefix)}&after={revision}"
                f"&waitMs={round(wait * 1000)}"
            )
            response = await self._read(query, "watch", wait + rules.margin)
            result = self._decode(response, _Items, "kv-watch")
            revision = max(revision, result.as_of)
            wait = rules.busy_wait if result.events else rules.wait
            changes = tuple(_decode_event(event) for event in result.events)
            yield WatchBatch(changes, revision)

    def cancel_stale_calls(self, seconds=0.0):
        """Cancel calls that were sent before the store became reachable again.

        Parameters
        ----------
        seconds : float, optional
            Duration of the call that the store has served first.
        """
        self._peer.cancel_stale_calls(seconds)

    async def close(self):
        """Close all connections."""
        await self._peer.close()

    async def _call(self, method, path, kind, body=None, timeout=None):
        return await self._receive(
            kind,
            self._peer.call(
                method, f"/peridotspoke/{path}", timeout or self._timeout, body
            ),
        )

    async def _read(self, path, kind, first_byte=None):
        limits = ReadLimits(
            first_byte or self._timeout, self._timeout, waits=kind == "watch"
        )
        return await self._receive(
            kind, self._peer.read(f"/peridotspoke/{path}", limits)
        )

    async def _receive(self, kind, pending):
        sent_at = self._clock.read_monotonic()
        try:
            response = await pending
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._report_call(kind, type(error).__name__, False, 0, sent_at)
            raise
        expected = response.status in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONDITION_FAILED)
        is_served = expected or response.status == HTTP_GONE
        self._report_call(kind, response.status, is_served, len(response.body), sent_at)
        if response.status in NO_EFFECT_STATUSES:
            raise PlatformUnavailableError(
                f"the store refused the call with status {response.status}: "
                f"{response.body[:200]!r}",
                step=kind,
                peer=self._peer.address,
            )
        if not expected:
            raise AnswerLostError(
                f"expected status 200, 404 or 412, found {response.status}",
                step=kind,
                peer=self._peer.address,
            )
        return response

    def _report_call(self, kind, result, served, size, sent_at):
        if self._on_call is not None:
            seconds = self._clock.read_monotonic() - sent_at
            self._on_call(kind, str(result), served, size, seconds)

    def _decode(self, response, body_class, step):
        if response.status == HTTP_NOT_FOUND:
            raise AnswerLostError(
                "expected a body, found status 404", step=step, peer=self._peer.address
            )
        return decode_body(response, body_class, step, self._peer.address)


def _encode_put(put):
    return {
        "key": put.key,
        "value": base64.b64encode(put.value).decode(),
        "lease": put.lease,
    }


def _decode_event(event):
    record = None if event.deleted else event.decode()
    return Change(event.key, record, event.revision)
