"""The platform's metadata store as a `KeyValueService`."""

import base64
from urllib.parse import quote

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    LeaseExpiredError,
    PlatformUnavailableError,
)
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

MAX_TRANSACTION_ENTRIES = 32  # the platform's protocol, "kv-txn"
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONDITION_FAILED = 412
HTTP_REFUSALS = frozenset({400, 403, 410, 429, 503})


class _Item(msgspec.Struct, rename="camel"):
    key: str
    value: str = ""
    revision: int = 0
    created_rev: int = 0
    lease: int = 0
    deleted: bool = False

    def decode(self):
        value = base64.b64decode(self.value)
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
    """Times of a watch, in seconds.

    `wait` is how long the store may hold a poll back, `busy_wait` the same after a
    poll that had changes, and `margin` how much later a poll counts as lost. A
    prefix that has just changed soon changes again, so that silence is noticed
    early there.
    """

    wait: float = 1.5
    busy_wait: float = 0.4
    margin: float = 0.6


class MetadataStore(KeyValueService):
    """Client of the platform's store.

    Parameters
    ----------
    peer : HttpPeer
    clock : Clock
    timeout : float
        Limit of one call, seconds; of a read, of each silence.
    watch_rules : WatchRules, optional
    note_call : callable, optional
        Called with the kind of each call, its result, whether it was served, the
        bytes of its answer and the seconds that it took.
    """

    watch_confirms = True

    def __init__(
        self,
        peer,
        clock,
        timeout,
        watch_rules=WatchRules(),
        note_call=None,
    ):
        self._peer = peer
        self._clock = clock
        self._timeout = timeout
        self._watch_rules = watch_rules
        self._note_call = note_call

    async def read(self, key):
        """Return the `Record` of `key`, or None."""
        answer = await self._read(f"kv-key?key={quote(key)}", "key")
        if answer.status == HTTP_NOT_FOUND:
            return None
        return self._decode(answer, _Item, "kv-key").decode()

    async def read_prefix(self, prefix):
        """Return a `Snapshot`, as of its first page, of the keys under `prefix`."""
        records, revision, after = [], None, ""
        while True:
            query = f"kv-range?prefix={quote(prefix)}"
            query += f"&after={quote(after)}" if after else ""
            answer = await self._read(query, "range")
            page = self._decode(answer, _Items, "kv-range")
            revision = page.as_of if revision is None else revision
            records += [item.decode() for item in page.items]
            if not page.has_more or not page.items:
                return Snapshot(tuple(records), revision)
            after = page.items[-1].key

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`."""
        puts = () if value is None else (Put(key, value, lease_id),)
        removals = (key,) if value is None else ()
        condition = Condition(key, expected_revision)
        result = await self.commit(Transaction((condition,), puts, removals))
        return SwapResult(result.won, result.revision, result.find_current(key))

    async def commit(self, transaction, timeout=None):
        """Apply a `Transaction` as a whole and return its `CommitResult`."""
        body = {
            "expectedRev": [
                {"key": item.key, "revision": item.revision}
                for item in transaction.conditions
            ],
            "puts": [_encode_put(put) for put in transaction.puts],
            "remove": list(transaction.removals),
        }
        answer = await self._call("POST", "kv-txn", "commit", body, timeout)
        if answer.status == HTTP_NOT_FOUND:
            raise LeaseExpiredError("a lease of the commit has ended", step="commit")
        found = self._decode(answer, _Items, "kv-txn")
        if answer.status == HTTP_OK:
            return CommitResult(True, found.revision)
        current = tuple(item.decode() for item in found.items if item.revision)
        return CommitResult(False, 0, current)

    async def grant_lease(self, ttl):
        """Return a fresh `Lease` of `ttl` seconds."""
        asked_at = self._clock.read_monotonic()
        body = {"ttlMs": round(ttl * 1000)}
        answer = await self._call("POST", "kv-lease", "grant", body)
        granted = self._decode(answer, _GrantedLease, "kv-lease")
        return Lease(granted.lease, granted.ttl_ms / 1000, asked_at)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None where it has expired."""
        asked_at = self._clock.read_monotonic()
        answer = await self._call("POST", f"kv-keep/{lease.lease_id}", "renew", {})
        if answer.status == HTTP_NOT_FOUND:
            return None
        granted = self._decode(answer, _GrantedLease, "kv-keep")
        return Lease(lease.lease_id, granted.ttl_ms / 1000, asked_at)

    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""
        await self._call("DELETE", f"kv-lease-end/{lease.lease_id}", "revoke")

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each answered poll, empty ones included."""
        rules = self._watch_rules
        revision, wait = from_revision, rules.busy_wait
        while True:
            query = (
                f"kv-watch?prefix={quote(prefix)}&after={revision}"
                f"&waitMs={round(wait * 1000)}"
            )
            answer = await self._read(query, "watch", wait + rules.margin)
            found = self._decode(answer, _Items, "kv-watch")
            revision = max(revision, found.as_of)
            wait = rules.busy_wait if found.events else rules.wait
            changes = tuple(_decode_event(event) for event in found.events)
            yield WatchBatch(changes, revision)

    def drop_stale_calls(self):
        """Give up calls that hang since before the store was back."""
        self._peer.drop_stale_calls()

    async def close(self):
        """Close all connections."""
        await self._peer.close()

    async def _call(self, method, path, kind, body=None, timeout=None):
        return await self._take(
            kind,
            self._peer.call(
                method, f"/peridotspoke/{path}", timeout or self._timeout, body
            ),
        )

    async def _read(self, path, kind, begin=None):
        limits = ReadLimits(begin or self._timeout, self._timeout)
        return await self._take(kind, self._peer.read(f"/peridotspoke/{path}", limits))

    async def _take(self, kind, answering):
        asked_at = self._clock.read_monotonic()
        try:
            answer = await answering
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._note(kind, type(error).__name__, False, 0, asked_at)
            raise
        served = answer.status in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONDITION_FAILED)
        is_answer = served or answer.status == HTTP_GONE
        self._note(kind, answer.status, is_answer, len(answer.body), asked_at)
        if answer.status in HTTP_REFUSALS:
            raise PlatformUnavailableError(
                f"refused with {answer.status}: {answer.body[:200]!r}",
                step=kind,
                peer=self._peer.address,
            )
        if not served:
            raise AnswerLostError(
                f"unexpected status {answer.status}",
                step=kind,
                peer=self._peer.address,
            )
        return answer

    def _note(self, kind, result, served, size, asked_at):
        if self._note_call is not None:
            seconds = self._clock.read_monotonic() - asked_at
            self._note_call(kind, str(result), served, size, seconds)

    def _decode(self, answer, body_class, step):
        if answer.status == HTTP_NOT_FOUND:
            raise AnswerLostError(
                "unexpected status 404", step=step, peer=self._peer.address
            )
        return decode_body(answer, body_class, step, self._peer.address)


def _encode_put(put):
    return {
        "key": put.key,
        "value": base64.b64encode(put.value).decode(),
        "lease": put.lease,
    }


def _decode_event(event):
    record = None if event.deleted else event.decode()
    return Change(event.key, record, event.revision)
