"""Joins the supervision of jobs to a controller's tasks on the fleet."""

import asyncio
from dataclasses import replace

import aiohttp

from peridotspoke.jobs import (
    JobsEnvironment,
    JobsSettings,
    JobsTask,
)
from peridotspoke.peers import InFlightSource
from peridotspoke.programs.fleet import NodeIdentity
from peridotspoke.programs.jobpools import describe_pools
from peridotspoke.store.workers import HttpWorker

__all__ = ["FleetJobs", "RunningWork"]

CALL_TIMEOUT = 2.0  # seconds
VIEW_INTERVAL = 2.0  # seconds; describing the pools reads all records


class RunningWork(InFlightSource):
    """Counts the jobs on an instance as in flight, besides the entry's requests.

    Parameters
    ----------
    source : InFlightSource
    """

    def __init__(self, source):
        self.jobs = None
        self._source = source

    async def report_in_flight(self, address, epochs):
        """Return `InFlightReport` by instance from the entry at `address`."""
        reports = await self._source.report_in_flight(address, epochs)
        return {
            instance: replace(
                report, in_flight=report.in_flight + self.jobs.count_tasks(instance)
            )
            for instance, report in reports.items()
        }


class FleetJobs:
    """Supervises the jobs of the pools that a controller owns.

    Parameters
    ----------
    settings : ControlSettings
    service : KeyValueService
    fleet : FleetTasks
    node : PeerNode
    clock : Clock
    random : random.Random
    """

    def __init__(self, settings, service, fleet, node, clock, random):
        self._settings = settings
        self._service = service
        self._fleet = fleet
        self._process = NodeIdentity(node)
        self._clock = clock
        self._random = random
        self._session = None
        self._jobs = None

    async def run(self):
        """Supervise until cancelled."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            environment = JobsEnvironment(
                self._service,
                self._clock,
                self._random,
                self._make_worker,
                self._process.is_held,
                self._request_removal,
            )
            self._jobs = jobs = JobsTask(JobsSettings(self._settings.name), environment)
            try:
                while True:
                    # Without the lease the last view stays, so that tasks that run
                    # are renewed through an outage of the platform's service.
                    if self._process.is_held():
                        await jobs.update_pools(self._describe_pools())
                    await asyncio.sleep(VIEW_INTERVAL)
            finally:
                await jobs.stop()

    def count_tasks(self, instance):
        """Return the number of jobs that may be on an instance.

        It is at least one until the instance's pool has been read.
        """
        item = self._fleet.observer.listed.get(instance)
        record = self._fleet.observer.records.get(instance)
        if item is None or not item.worker or record is None:
            return 0
        if self._jobs is None:
            return 1
        return self._jobs.count_tasks(record.pool, instance)

    def _make_worker(self, address):
        return HttpWorker(address, CALL_TIMEOUT, self._session)

    def _describe_pools(self):
        observer = self._fleet.observer
        return describe_pools(
            self._fleet.controller.list_owned(),
            observer.configuration,
            observer.records,
            observer.listed,
        )

    async def _request_removal(self, action):
        """Take note of a worker that fails all it starts.

        The board has already stopped to use it; taking the instance out of service
        needs a permit of the pool's disruption ledger.
        """
