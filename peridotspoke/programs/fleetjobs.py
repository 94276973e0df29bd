"""The supervision of jobs in a controller, based on its view of the fleet."""

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

__all__ = ["FleetJobs", "JobInFlightSource"]

CALL_TIMEOUT = 2.0  # seconds
POOL_UPDATE_INTERVAL = 2.0  # seconds; each update reads the records of all instances


class JobInFlightSource(InFlightSource):
    """Adds the jobs on an instance to the requests that an entry has in flight.

    Parameters
    ----------
    source : InFlightSource
        Reports the requests in flight.

    Attributes
    ----------
    jobs : FleetJobs or None
        Counts the jobs; must be set before the first report.
    """

    def __init__(self, source):
        self.jobs = None
        self._source = source

    async def report_in_flight(self, address, epochs):
        """Return a dict of instance to `InFlightReport`, jobs included.

        Parameters
        ----------
        address : str
            The entry that reports its requests.
        epochs : dict of str to int
            The epoch of the record by which each instance drains.

        Raises
        ------
        PeerError
            If the entry did not answer.
        """
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
        """Supervise the jobs of the owned pools until cancelled."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            environment = JobsEnvironment(
                self._service,
                self._clock,
                self._random,
                self._make_worker,
                self._process.is_held,
                self._keep_in_service,
            )
            self._jobs = jobs = JobsTask(JobsSettings(self._settings.name), environment)
            try:
                while True:
                    # Without the lease, the last view stays in use, so that running
                    # tasks are renewed during an outage of the platform's service.
                    if self._process.is_held():
                        await jobs.update_pools(self._describe_pools())
                    await asyncio.sleep(POOL_UPDATE_INTERVAL)
            finally:
                await jobs.stop()

    def count_tasks(self, instance):
        """Return an upper bound of the number of jobs on an instance.

        It is at least 1 for an instance with a worker until its pool has been read.
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

    async def _keep_in_service(self, action):
        """Leave the instance of a worker that fails all its tasks in service.

        The job board no longer uses the worker. Taking the instance out of service
        would need a permit from the pool's disruption ledger.
        """
