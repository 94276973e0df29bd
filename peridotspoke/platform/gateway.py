"""The key-value service over the JSON gateway of the etcd v3 interface."""

import base64

import aiohttp
import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.platform.keyvalue import (
    Change,
    KeyValueService,
    Lease,
    Record,
    Snapshot,
    SwapResult,
    WatchBatch,
)

__all__ = ["GatewayKeyValueService", "decode_text", "encode_text", "end_of_prefix"]

HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
WATCH_LINE_LIMIT = 4 * 1024 * 1024  # bytes


def encode_text(text):
    """Return `text` (str or bytes) in the gateway's base64 form."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def decode_text(text):
    """Return the bytes of the gateway's base64 form."""
    return base64.b64decode(text)


def end_of_prefix(prefix):
    """Return the first key, as bytes, after all that begin with `prefix`.

    Examples
    --------
    >>> end_of_prefix("pools/")
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
        Limit of one call in seconds.
    clock : Clock
        Gives the time from which leases are counted.
    session : aiohttp.ClientSession
        Owned by the caller.

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
        """Return the `Record` of `key`, or None."""
        answer = await self._call("kv/range", {"key": encode_text(key)})
        found = answer.get("kvs", [])
        return _parse_record(found[0]) if found else None

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        request = {
            "key": encode_text(prefix),
            "range_end": encode_text(end_of_prefix(prefix)),
        }
        answer = await self._call("kv/range", request)
        records = tuple(_parse_record(item) for item in answer.get("kvs", []))
        return Snapshot(records, _parse_revision(answer))

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`."""
        encoded_key = encode_text(key)
        compare = {
            "key": encoded_key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        if value is None:
            write = {"request_delete_range": {"key": encoded_key}}
        else:
            put = {"key": encoded_key, "value": encode_text(value)}
            if lease_id:
                put["lease"] = str(lease_id)
            write = {"request_put": put}
        request = {
            "compare": [compare],
            "success": [write],
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        answer = await self._call("kv/txn", request)
        revision = _parse_revision(answer)
        if answer.get("succeeded"):
            return SwapResult(True, revision)
        found = answer["responses"][0]["response_range"].get("kvs", [])
        current = _parse_record(found[0]) if found else None
        return SwapResult(False, revision, current)

    async def grant_lease(self, ttl):
        """Return a fresh `Lease` of `ttl` seconds."""
        asked_at = self._clock.read_monotonic()
        answer = await self._call("lease/grant", {"TTL": str(max(1, round(ttl)))})
        return Lease(int(answer["ID"]), float(answer["TTL"]), asked_at)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None where it has expired."""
        asked_at = self._clock.read_monotonic()
        answer = await self._call("lease/keepalive", {"ID": str(lease.lease_id)})
        ttl = float(answer["result"].get("TTL", 0))
        return Lease(lease.lease_id, ttl, asked_at) if ttl > 0 else None

    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""
        await self._call("lease/revoke", {"ID": str(lease.lease_id)})

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`."""
        create = {
            "key": encode_text(prefix),
            "range_end": encode_text(end_of_prefix(prefix)),
            "start_revision": str(from_revision + 1),
            "progress_notify": True,
        }
        try:
            async with self._session.post(
                f"{self._url}/v3/watch",
                json={"create_request": create},
                timeout=self._watch_timeout,
                read_bufsize=WATCH_LINE_LIMIT,
            ) as response:
                if response.status != HTTP_OK:
                    raise self._make_unavailable("watch", f"status {response.status}")
                async for line in response.content:
                    batch = self._parse_watch_line(line)
                    if batch is not None:
                        yield batch
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise self._make_unavailable("watch", repr(error)) from error
        raise self._make_unavailable("watch", "the stream ended")

    def _parse_watch_line(self, line):
        if not line.strip():
            return None
        result = msgspec.json.decode(line)["result"]
        if result.get("canceled"):
            raise self._make_unavailable("watch", "the watch was cancelled")
        if result.get("created"):
            return None
        changes = tuple(_parse_change(event) for event in result.get("events", []))
        return WatchBatch(changes, _parse_revision(result))

    async def _call(self, method, request):
        try:
            async with self._session.post(
                f"{self._url}/v3/{method}", json=request, timeout=self._timeout
            ) as response:
                body = await response.read()
                if response.status == HTTP_TOO_MANY_REQUESTS:
                    raise self._make_unavailable(method, "the rate is exceeded")
                if response.status != HTTP_OK:
                    raise AnswerLostError(
                        f"expected status 200, found {response.status}",
                        step=method,
                        peer=self._url,
                    )
                return msgspec.json.decode(body)
        except aiohttp.ClientConnectorError as error:
            raise self._make_unavailable(method, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"no answer: {error!r}", step=method, peer=self._url
            ) from error
        except msgspec.DecodeError as error:
            raise PlatformError(
                f"expected JSON: {error}", step=method, peer=self._url
            ) from error

    def _make_unavailable(self, method, reason):
        return PlatformUnavailableError(reason, step=method, peer=self._url)


def _parse_revision(answer):
    return int(answer["header"]["revision"])


def _parse_record(item):
    return Record(
        key=decode_text(item["key"]).decode(),
        value=decode_text(item.get("value", "")),
        revision=int(item["mod_revision"]),
        lease=int(item.get("lease", 0)),
    )


def _parse_change(event):
    item = event["kv"]
    key = decode_text(item["key"]).decode()
    deleted = event.get("type") == "DELETE"
    record = None if deleted else _parse_record(item)
    return Change(key, record, int(item["mod_revision"]))
