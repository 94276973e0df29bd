"""Runs one node: follows the store's records and supervises the units it owns."""

import asyncio

from peridotspoke.backoff import BackoffRules
from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.access import FreshReads
from peridotspoke.nodes.fleet import FLEET, FleetSupervisor
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import WORK_PREFIX, prefix_jobs
from peridotspoke.nodes.ownership import Ownership
from peridotspoke.nodes.quotas import follow_quotas
from peridotspoke.nodes.refusedwork import RefusedTeller
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tasksets import keep_running
from peridotspoke.store import FollowingRules, follow_prefix

__all__ = ["DocumentCodec", "Node"]

FOLLOWING_RULES = FollowingRules(backoff=BackoffRules(first=0.1, most=0.3))  # seconds
OWNER_POLL_INTERVAL = 0.06  # seconds between polls for work on a node that owns units
IDLE_POLL_INTERVAL = 0.15  # seconds between polls for work on other nodes
ENTRY_POLL_INTERVAL = 0.2  # seconds between polls for executors' entries


class DocumentCodec:
    """Keys and formats of the operator's and the executors' records in the store.

    Parameters
    ----------
    prefix : str
        Key prefix of the operator's records.
    configuration_key : str
        Key of the configuration.
    wave_prefix : str
        Key prefix of the maintenance waves; starts with `prefix`.
    entry_prefix : str
        Key prefix of the executors' entries.
    decode_configuration, decode_wave, decode_entry : callable
        Decode a `Record`; each raises `RecordError` if it is unreadable.
    encode_wave_status : callable
        Returns, for whether a wave is completed, the status record's value in bytes.
    key_wave_status : callable
        Returns the key of the status record for a wave's number.
    """

    def __init__(
        self,
        prefix,
        configuration_key,
        wave_prefix,
        entry_prefix,
        decode_configuration,
        decode_wave,
        decode_entry,
        encode_wave_status,
        key_wave_status,
    ):
        self.prefix = prefix
        self.configuration_key = configuration_key
        self.wave_prefix = wave_prefix
        self.entry_prefix = entry_prefix
        self.decode_configuration = decode_configuration
        self.decode_wave = decode_wave
        self.decode_entry = decode_entry
        self.encode_wave_status = encode_wave_status
        self.key_wave_status = key_wave_status


class Node:
    """Runs the tasks of one node.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the node's tasks; its `ownership` and its `fresh_reads`
        are set here.
    codec : DocumentCodec
    """

    def __init__(self, parts, codec):
        self._parts = parts
        self._codec = codec
        self._supervisors = {}
        self._followers = {}
        self._pool_supervisors = {}
        self._tasks = set()
        self._following_entries = False
        self._decoded_revision = 0
        parts.fresh_reads = FreshReads(parts, codec)
        parts.ownership = Ownership(
            parts.settings,
            parts.store,
            parts.view,
            parts.clock,
            self._list_units,
            self._start_supervisor,
            self._stop_supervisor,
            self._list_lease_waits,
        )

    def start(self):
        """Start to follow the store and to claim units."""
        self._spawn(keep_running("follow operator", self._follow_operator))
        self._spawn(keep_running("follow work", self._follow_work))
        self._spawn(keep_running("own units", self._parts.ownership.run))
        self._spawn(keep_running("tell refused", RefusedTeller(self._parts).run))

    async def release_units(self):
        """Release the units that this node owns, before it stops."""
        await self._parts.ownership.release_all()

    async def stop(self):
        """Cancel all tasks, wait until they have ended and close all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._parts.close_connections()

    def _list_units(self):
        configuration = self._parts.view.configuration
        if configuration is None:
            return []
        pools = [pool.name for pool in configuration.pools]
        return [FLEET, *pools] if self._parts.machines is not None else pools

    def _start_supervisor(self, holding):
        if not self._following_entries:
            self._following_entries = True
            self._spawn(keep_running("follow entries", self._follow_entries))
            self._spawn(keep_running("follow quotas", self._follow_quotas))
        if holding.unit == FLEET:
            supervisor = FleetSupervisor(
                self._parts,
                holding,
                self._codec.encode_wave_status,
                self._codec.key_wave_status,
            )
        else:
            jobs = PoolJobs(holding.unit)
            self._parts.view.jobs[holding.unit] = jobs
            self._followers[holding.unit] = self._spawn(
                self._follow_jobs(holding, jobs)
            )
            supervisor = PoolSupervisor(self._parts, holding, jobs)
            self._pool_supervisors[holding.unit] = supervisor
        self._supervisors[holding.unit] = self._spawn(
            self._supervise(holding, supervisor)
        )

    async def _supervise(self, holding, supervisor):
        """Run a unit's supervisor, and give the unit up if the supervisor fails."""
        try:
            await supervisor.run()
        except Exception as error:
            log_event(
                "supervisor-failed", "ERROR", unit=holding.unit, error=repr(error)
            )
            self._parts.ownership.give_up(holding, "its supervisor failed")

    def _list_lease_waits(self, holding):
        supervisor = self._pool_supervisors.get(holding.unit)
        return {} if supervisor is None else supervisor.list_lease_waits()

    def _stop_supervisor(self, holding):
        self._parts.view.jobs.pop(holding.unit, None)
        self._pool_supervisors.pop(holding.unit, None)
        for tasks in (self._supervisors, self._followers):
            task = tasks.pop(holding.unit, None)
            if task is not None:
                task.cancel()

    def _follow(self, prefix):
        parts = self._parts
        return follow_prefix(
            parts.store,
            prefix,
            sleep=parts.pause,
            rules=FOLLOWING_RULES,
            clock=parts.clock,
            chance=parts.chance,
        )

    async def _follow_operator(self):
        async for followed in self._follow(self._codec.prefix):
            for key in followed.changed:
                record = followed.records.get(key)
                try:
                    self._apply_operator_record(key, record)
                except RecordError as error:
                    log_event("record-unreadable", "ERROR", key=key, error=error)
            view = self._parts.view
            view.configured_at = followed.confirmed_at
            newest = followed.records.get(self._codec.configuration_key)
            # A newest version that can't be read may revoke keys.
            if newest is not None and newest.revision == self._decoded_revision:
                view.confirm_configuration(followed.proved_at)

    def _apply_operator_record(self, key, record):
        view, codec = self._parts.view, self._codec
        if record is None:
            return
        if key == codec.configuration_key:
            view.apply_configuration(codec.decode_configuration(record))
            self._decoded_revision = record.revision
        elif key.startswith(codec.wave_prefix):
            wave = codec.decode_wave(record)
            view.waves[wave.number] = (wave, self._parts.clock.read_monotonic())
            log_event("wave-announced", wave=wave.number, machines=len(wave.machines))

    async def _follow_work(self):
        parts = self._parts
        async for followed in self._follow(WORK_PREFIX):
            parts.view.apply_work(followed)
            now = parts.clock.read_monotonic()
            parts.publication_times.note(parts.view.counts, now)
            await asyncio.sleep(
                OWNER_POLL_INTERVAL if self._supervisors else IDLE_POLL_INTERVAL
            )

    async def _follow_jobs(self, holding, jobs):
        """Follow a pool's jobs, and give the pool up if that fails."""
        try:
            async for followed in self._follow(prefix_jobs(jobs.pool)):
                jobs.apply_records(followed)
                await asyncio.sleep(OWNER_POLL_INTERVAL)
        except Exception as error:
            log_event("follower-failed", "ERROR", unit=holding.unit, error=repr(error))
            self._parts.ownership.give_up(holding, "its jobs could not be followed")

    async def _follow_quotas(self):
        await follow_quotas(
            self._parts, self._follow, lambda: bool(self._pool_supervisors)
        )

    async def _follow_entries(self):
        async for followed in self._follow(self._codec.entry_prefix):
            view, parts = self._parts.view, self._parts
            view.apply_entries(
                followed, self._codec.decode_entry, parts.find_entry_grace_end()
            )
            view.remove_expired(parts.clock.read_monotonic())
            await asyncio.sleep(ENTRY_POLL_INTERVAL)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._remove_finished_task)
        return task

    def _remove_finished_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("task-failed", "ERROR", error=repr(task.exception()))
