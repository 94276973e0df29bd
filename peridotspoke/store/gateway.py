"""Client of the key-value service through the JSON gateway of the etcd v3 API."""

import base64
from contextlib import contextmanager

import aiohttp

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    AnswerLostError,
    MalformedDataError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.store.keyvalue import (
    MAX_VALUE,
    Change,
    KeyValueService,
    Lease,
    PrefixCheck,
    Record,
    Snapshot,
    SwapResult,
    WatchBatch,
)

__all__ = [
    "GatewayKeyValueService",
    "compute_prefix_end",
    "decode_base64",
    "encode_base64",
]

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
# Statuses of calls that the service rejected without carrying them out.
REJECTED_STATUSES = frozenset(
    {HTTP_BAD_REQUEST, HTTP_NOT_FOUND, HTTP_TOO_MANY_REQUESTS}
)
# Raised while parsing an answer of an unexpected form.
PARSE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, MalformedDataError)
MAX_WATCH_LINE = 4 * 1024 * 1024  # bytes


def encode_base64(text):
    """Encode a string or bytes as base64, as the gateway does keys and values.

    Parameters
    ----------
    text : str or bytes

    Returns
    -------
    str
    """
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def decode_base64(text):
    """Decode a key or value of the gateway from base64.

    Parameters
    ----------
    text : str

    Returns
    -------
    bytes
    """
    return base64.b64decode(text)


def compute_prefix_end(prefix):
    """Return the smallest key that sorts after all keys beginning with `prefix`.

    Parameters
    ----------
    prefix : str

    Returns
    -------
    bytes

    Examples
    --------
    >>> compute_prefix_end("pools/")
    b'pools0'
    """
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


class GatewayKeyValueService(KeyValueService):
    """Client of the etcd v3 JSON gateway [1]_.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout : float
        Timeout of one call in seconds; of a watch, of connecting only.
    clock : Clock
        Gives the monotonic time from which the terms of leases are counted.
    session : aiohttp.ClientSession
        Closed by the caller.

    References
    ----------
    .. [1] etcd documentation, "gRPC gateway", API v3.
    """

    def __init__(self, url, timeout, clock, session):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout, connect=timeout)
        self._watch_timeout = aiohttp.ClientTimeout(total=None, sock_connect=timeout)
        self._clock = clock
        self._session = session

    async def read(self, key):
        """Return the `Record` of `key`, or None if the key is absent."""
        answer = await self._call("kv/range", {"key": encode_base64(key)})
        with self._parsing("kv/range"):
            items = answer.get("kvs", [])
            return _parse_record(items[0]) if items else None

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        answer = await self._call("kv/range", _encode_range(prefix))
        with self._parsing("kv/range"):
            records = tuple(_parse_record(item) for item in answer.get("kvs", []))
            return Snapshot(records, _parse_revision(answer))

    async def check_prefix(self, prefix, revision):
        """Count the records under `prefix` and look for any newer than `revision`."""
        request = {
            **_encode_range(prefix),
            "min_mod_revision": str(revision + 1),
            "keys_only": True,
        }
        answer = await self._call("kv/range", request)
        with self._parsing("kv/range"):
            return PrefixCheck(int(answer.get("count", 0)), bool(answer.get("kvs")))

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write or delete a record if it still has the expected revision."""
        _check_size(key, value)
        encoded_key = encode_base64(key)
        compare = {
            "key": encoded_key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        if value is None:
            write = {"request_delete_range": {"key": encoded_key}}
        else:
            put = {"key": encoded_key, "value": encode_base64(value)}
            if lease_id:
                put["lease"] = str(lease_id)
            write = {"request_put": put}
        request = {
            "compare": [compare],
            "success": [write],
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        answer = await self._call("kv/txn", request)
        with self._parsing("kv/txn"):
            revision = _parse_revision(answer)
            if answer.get("succeeded"):
                return SwapResult(True, revision)
            items = answer["responses"][0]["response_range"].get("kvs", [])
            current = _parse_record(items[0]) if items else None
            return SwapResult(False, revision, current)

    async def grant_lease(self, ttl):
        """Return a new `Lease` of `ttl` seconds, rounded to a whole number >= 1."""
        requested_at = self._clock.read_monotonic()
        answer = await self._call("lease/grant", {"TTL": str(max(1, round(ttl)))})
        with self._parsing("lease/grant"):
            return Lease(int(answer["ID"]), float(answer["TTL"]), requested_at)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None if it has expired."""
        requested_at = self._clock.read_monotonic()
        answer = await self._call("lease/keepalive", {"ID": str(lease.lease_id)})
        with self._parsing("lease/keepalive"):
            ttl = float(answer["result"].get("TTL", 0))
        return Lease(lease.lease_id, ttl, requested_at) if ttl > 0 else None

    async def revoke_lease(self, lease):
        """Revoke the lease and delete the records attached to it."""
        await self._call("lease/revoke", {"ID": str(lease.lease_id)})

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`."""
        create = {
            **_encode_range(prefix),
            "start_revision": str(from_revision + 1),
            "progress_notify": True,
        }
        try:
            async with self._session.post(
                f"{self._url}/v3/watch",
                json={"create_request": create},
                timeout=self._watch_timeout,
                read_bufsize=MAX_WATCH_LINE,
            ) as response:
                if response.status != HTTP_OK:
                    raise self._make_unavailable("watch", f"status {response.status}")
                async for line in response.content:
                    batch = self._parse_watch_line(line)
                    if batch is not None:
                        yield batch
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise self._make_unavailable("watch", repr(error)) from error
        raise self._make_unavailable("watch", "the service closed the watch stream")

    def _parse_watch_line(self, line):
        """Return the `WatchBatch` of a line, or None for an empty or a created one."""
        if not line.strip():
            return None
        with self._parsing("watch"):
            result = decode_json(line)["result"]
            if result.get("created"):
                return None
            if not result.get("canceled"):
                events = result.get("events", [])
                changes = tuple(_parse_change(event) for event in events)
                return WatchBatch(changes, _parse_revision(result))
        compacted = result.get("compact_revision", "none")
        reason = f"the service cancelled the watch; compacted revision: {compacted}"
        raise self._make_unavailable("watch", reason)

    async def _call(self, method, request):
        try:
            async with self._session.post(
                f"{self._url}/v3/{method}", json=request, timeout=self._timeout
            ) as response:
                body = await response.read()
                if response.status in REJECTED_STATUSES:
                    reason = f"rejected with status {response.status}: {body[:200]!r}"
                    raise self._make_unavailable(method, reason)
                if response.status != HTTP_OK:
                    raise AnswerLostError(
                        f"expected status 200, found {response.status}",
                        step=method,
                        peer=self._url,
                    )
        except aiohttp.ClientConnectorError as error:
            raise self._make_unavailable(method, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"no answer: {error!r}", step=method, peer=self._url
            ) from error
        with self._parsing(method):
            return decode_json(body)

    @contextmanager
    def _parsing(self, method):
        """Turn errors of parsing an answer into `AnswerLostError`.

        The call may have had an effect, whatever the form of its answer.
        """
        try:
            yield
        except PARSE_ERRORS as error:
            raise AnswerLostError(
                f"answer of an unexpected form: {error!r}", step=method, peer=self._url
            ) from error

    def _make_unavailable(self, method, reason):
        return PlatformUnavailableError(reason, step=method, peer=self._url)


def _encode_range(prefix):
    return {
        "key": encode_base64(prefix),
        "range_end": encode_base64(compute_prefix_end(prefix)),
    }


def _check_size(key, value):
    if value is not None and len(value) > MAX_VALUE:
        raise RecordError(
            f"value of {len(value)} bytes exceeds the limit of {MAX_VALUE} bytes",
            step="swap",
            peer=key,
        )


def _parse_revision(answer):
    return int(answer["header"]["revision"])


def _parse_record(item):
    return Record(
        key=decode_base64(item["key"]).decode(),
        value=decode_base64(item.get("value", "")),
        revision=int(item["mod_revision"]),
        lease=int(item.get("lease", 0)),
    )


def _parse_change(event):
    item = event["kv"]
    key = decode_base64(item["key"]).decode()
    deleted = event.get("type") == "DELETE"
    record = None if deleted else _parse_record(item)
    return Change(key, record, int(item["mod_revision"]))
