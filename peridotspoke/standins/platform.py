"""A stand-in for the platform: key-value service and instances, with faults."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import msgspec
import xxhash
from aiohttp import web

from peridotspoke.standins.faults import PlatformFaults
from peridotspoke.standins.fleet import FleetStandIn
from peridotspoke.standins.store import StoreStandIn
from peridotspoke.store.gateway import decode_base64, encode_base64
from peridotspoke.store.instances import ListedInstance
from peridotspoke.store.usage import UsageReport

__all__ = ["PlatformStandIn"]

EXPIRY_INTERVAL = 0.1  # seconds
MAX_REQUEST = 2 * 1024 * 1024  # bytes


class PlatformStandIn:
    """Serves the JSON gateway of etcd v3, the instance list and usage reports.

    Paths under ``/standin/`` control the stand-in itself and are exempt from the
    faults.

    Parameters
    ----------
    clock : Clock
        Source of the current time.

    Attributes
    ----------
    store : StoreStandIn
        The records and leases.
    fleet : FleetStandIn
        The instances.
    faults : PlatformFaults
        The current faults.
    """

    def __init__(self, clock):
        self.store = StoreStandIn()
        self.fleet = FleetStandIn()
        self.faults = PlatformFaults()
        self._clock = clock
        self._changed = asyncio.Condition()
        self._delayed_effects = set()

    def list_instances(self, instances):
        """Replace the instance list; readers see it after ``faults.list_lag``."""
        now = self._clock.read_monotonic()
        self.fleet.replace_instances(instances, now)

    async def write_record(self, key, value):
        """Write a record, or delete it if `value` is None, regardless of the faults."""
        current = self.store.records.get(key)
        revision = current.revision if current else 0
        self.store.swap(key, value, revision, 0, self._clock.read_monotonic())
        await self._notify_watchers()

    def make_application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_REQUEST)
        routes = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
            "/v3/watch": self._watch,
            "/standin/compact": self._compact,
            "/standin/faults": self._replace_faults,
            "/standin/instances": self._replace_instances,
            "/standin/fleet/{action}": self._change_fleet,
            "/standin/usage": self._replace_usage,
            "/instances/{instance}/{action:drain|reboot}": self._act_on_instance,
        }
        for path, handler in routes.items():
            application.router.add_post(path, handler)
        application.router.add_get("/instances", self._show_instances)
        application.router.add_get("/usage", self._show_usage)
        application.router.add_get("/standin/calls", self._show_calls)
        application.middlewares.append(self._apply_faults)
        application.cleanup_ctx.append(self._run_lease_expiry)
        return application

    async def _run_lease_expiry(self, application):
        task = asyncio.create_task(self._expire_leases())
        yield
        for pending in (task, *self._delayed_effects):
            pending.cancel()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            before = self.store.revision
            self.store.expire_leases(self._clock.read_monotonic())
            if self.store.revision != before:
                await self._notify_watchers()

    async def _notify_watchers(self):
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _apply_faults(self, request, handler):
        if request.path.startswith("/standin/"):
            return await handler(request)
        method = request.path.removeprefix("/v3/")
        self.store.calls[method] += 1
        if self.faults.down or self._is_from_cut_zone(request):
            return _abort_connection(request)
        if self.faults.babble:
            return web.json_response(["unexpected"])
        await request.read()
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        loses_answer = self.faults.lose_answers > 0 and self.faults.lose_after in (
            "",
            method,
        )
        if loses_answer and method != "watch":
            self.faults = replace(
                self.faults, lose_answers=self.faults.lose_answers - 1
            )
            await self._run_without_answer(request, handler)
            return _abort_connection(request)
        return await handler(request)

    async def _run_without_answer(self, request, handler):
        """Carry out a call without answering it, after ``faults.late_effect``."""
        if not self.faults.late_effect:
            await handler(request)
            return

        async def take_effect(delay):
            await asyncio.sleep(delay)
            await handler(request)

        task = asyncio.create_task(take_effect(self.faults.late_effect))
        self._delayed_effects.add(task)
        task.add_done_callback(self._delayed_effects.discard)

    def _is_from_cut_zone(self, request):
        zone = request.headers.get("Peridotspoke-Zone", "")
        return zone in self.faults.cut_zones

    async def _range(self, request):
        body = await request.json()
        now = self._clock.read_monotonic()
        key = decode_base64(body["key"]).decode()
        if "range_end" in body:
            snapshot = self.store.read_prefix(key, now)
            records = snapshot.records
        else:
            record = self.store.read(key, now)
            records = () if record is None else (record,)
        min_revision = int(body.get("min_mod_revision", 0))
        kvs = [
            _format_record(record, body.get("keys_only", False))
            for record in records
            if record.revision >= min_revision
        ]
        return self._respond({"kvs": kvs, "count": str(len(records))})

    async def _txn(self, request):
        body = await request.json()
        now = self._clock.read_monotonic()
        compare = body["compare"][0]
        key = decode_base64(compare["key"]).decode()
        write = body["success"][0]
        put = write.get("request_put")
        value = decode_base64(put["value"]) if put else None
        lease_id = int(put.get("lease", 0)) if put else 0
        expected = int(compare["mod_revision"])
        try:
            result = self.store.swap(key, value, expected, lease_id, now)
        except KeyError:
            return web.json_response({"error": "lease not found"}, status=404)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        if result.succeeded:
            await self._notify_watchers()
            return self._respond({"succeeded": True})
        kvs = [_format_record(result.current)] if result.current else []
        return self._respond({"responses": [{"response_range": {"kvs": kvs}}]})

    async def _grant(self, request):
        body = await request.json()
        ttl = int(body["TTL"])
        lease_id = self.store.grant_lease(ttl, self._clock.read_monotonic())
        return self._respond({"ID": str(lease_id), "TTL": str(ttl)})

    async def _keepalive(self, request):
        body = await request.json()
        now = self._clock.read_monotonic()
        ttl = self.store.renew_lease(int(body["ID"]), now)
        return self._respond({"result": {"ID": body["ID"], "TTL": str(ttl)}})

    async def _revoke(self, request):
        body = await request.json()
        self.store.revoke_lease(int(body["ID"]))
        await self._notify_watchers()
        return self._respond({})

    async def _watch(self, request):
        body = (await request.json())["create_request"]
        prefix = decode_base64(body["key"]).decode()
        last_sent = int(body.get("start_revision", self.store.revision + 1)) - 1
        response = web.StreamResponse()
        await response.prepare(request)
        with suppress(ConnectionError):
            await self._stream_changes(request, response, prefix, last_sent)
        return response

    async def _stream_changes(self, request, response, prefix, last_sent):
        await self._write_result(response, {"created": True})
        if last_sent < self.store.compacted:
            compacted = str(self.store.compacted)
            await self._write_result(
                response, {"canceled": True, "compact_revision": compacted}
            )
            return
        while not self._is_from_cut_zone(request) and not self.faults.down:
            changes = self.store.list_changes(prefix, last_sent)
            if changes and not self.faults.mute_watches:
                events = [_format_change(change) for change in changes]
                last_sent = changes[-1].revision
                await self._write_result(response, {"events": events})
            try:
                async with asyncio.timeout(EXPIRY_INTERVAL), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
        if request.transport is not None:
            request.transport.abort()

    async def _write_result(self, response, result):
        header = {"revision": str(self.store.revision)}
        line = msgspec.json.encode({"result": {"header": header, **result}})
        await response.write(line + b"\n")

    async def _show_instances(self, request):
        now = self._clock.read_monotonic()
        self.fleet.advance(now)
        listed = self.fleet.read_list(now - self.faults.list_lag)
        body = msgspec.json.encode(listed)
        headers = {"ETag": f'"{xxhash.xxh3_64_hexdigest(body)}"'}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _show_usage(self, request):
        read_at = self._clock.read_monotonic() - self.faults.usage_lag
        body = msgspec.json.encode(self.fleet.read_usage(read_at))
        return web.Response(body=body, content_type="application/json")

    async def _act_on_instance(self, request):
        """Drain or reboot the instance if ``If-Match`` is its current incarnation."""
        apply_action = getattr(self.fleet, request.match_info["action"])
        incarnation = int(request.headers["If-Match"].strip('"'))
        now = self._clock.read_monotonic()
        accepted = apply_action(request.match_info["instance"], incarnation, now)
        return web.Response(status=202 if accepted else 412)

    async def _change_fleet(self, request):
        """Fail an instance or a rack, bring an instance back or set the reboot time."""
        change = msgspec.json.decode(await request.read(), type=dict[str, str])
        now = self._clock.read_monotonic()
        match request.match_info["action"]:
            case "fail":
                self.fleet.fail(change["instance"], now)
            case "fail-rack":
                self.fleet.fail_rack(change["zone"], change["rack"], now)
            case "bring-back":
                self.fleet.bring_back(change["instance"], now)
            case "reboot-time":
                self.fleet.reboot_time = float(change["seconds"])
            case _:
                raise web.HTTPNotFound
        return web.json_response({})

    async def _replace_usage(self, request):
        reports = msgspec.json.decode(
            await request.read(), type=tuple[UsageReport, ...]
        )
        self.fleet.report_usage(reports, self._clock.read_monotonic())
        return web.json_response({})

    async def _show_calls(self, request):
        return web.json_response(dict(self.store.calls))

    async def _compact(self, request):
        self.store.compact()
        return web.json_response({})

    async def _replace_faults(self, request):
        self.faults = msgspec.json.decode(await request.read(), type=PlatformFaults)
        return web.json_response({})

    async def _replace_instances(self, request):
        body = await request.read()
        self.list_instances(msgspec.json.decode(body, type=tuple[ListedInstance, ...]))
        return web.json_response({})

    def _respond(self, body):
        header = {"revision": str(self.store.revision)}
        return web.json_response({"header": header, **body})


def _abort_connection(request):
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _format_record(record, keys_only=False):
    return {
        "key": encode_base64(record.key),
        "value": "" if keys_only else encode_base64(record.value),
        "mod_revision": str(record.revision),
        "lease": str(record.lease),
    }


def _format_change(change):
    if change.record is not None:
        return {"kv": _format_record(change.record)}
    deleted = {"key": encode_base64(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deleted}
