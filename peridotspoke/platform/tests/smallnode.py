"""A node process with low limits, on stand-ins for the platform, and its measures."""

import asyncio
import contextlib
import json
import os
import resource
import subprocess
import sys

import aiohttp
import psutil

from peridotspoke.platform.standins import ExecutorStandIn, serve_standin
from peridotspoke.platform.storestandin import MetadataStandIn
from peridotspoke.platform.tests.platforms import CONFIG, call

__all__ = [
    "DESCRIPTORS",
    "FRONT_PORT",
    "MEMORY",
    "READY_PORT",
    "SmallNode",
    "check_bounds",
]

FRONT_PORT = 8624
READY_PORT = 8622

MEMORY = 100  # MB, limits.memoryMb
DESCRIPTORS = 400  # limits.maxFds where the crowd is to use memory
MEGABYTE = 1_000_000  # bytes
MOST_OUTPUT = 65_536  # bytes of standard output and error
SPARE_DESCRIPTORS = 20  # for the store, the executors and the log
SAMPLE_INTERVAL = 0.02  # seconds
START_LIMIT = 150  # seconds; beside a load of 20 a start has taken 74 s
HANG_LIMIT = 30  # seconds after which a node counts as hanging
ONE_STEP = [{"count": 1, "cpu": 500}]
SETTINGS = """\
node=small
zone=zone
heartbeatMs=1500
limits.memoryMb={memory}
limits.maxFds={descriptors}
listen.front={host}:{front}
listen.ready={host}:{ready}
platform.address={store}
"""


class SmallNode:
    """A node process and the platform that it uses.

    Parameters
    ----------
    folder : pathlib.Path
        Gets the settings and the output of the process.
    descriptors : int, optional
    output : int, optional
        Descriptor that becomes the process's standard output, instead of a file.
    memory : int, optional
        MB.
    executors : int, optional
        How many executors the pool has.

    Attributes
    ----------
    process : subprocess.Popen
    most_memory : int
        Highest resident memory that was seen, bytes.
    most_descriptors : int
        Highest number of open descriptors that was seen.
    """

    def __init__(
        self,
        folder,
        descriptors=DESCRIPTORS,
        output=None,
        memory=MEMORY,
        executors=1,
    ):
        self.folder, self.descriptors, self.output = folder, descriptors, output
        self.memory = memory
        self.executors = [ExecutorStandIn(f"i-{n}", "pool") for n in range(executors)]
        self.store = MetadataStandIn()
        self.most_memory = self.most_descriptors = self.first_memory = 0
        self.process, self._runners, self._sampling = None, [], None
        self._host = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}.201"

    async def __aenter__(self):
        self.store.put("op/config", CONFIG)
        for executor in self.executors:
            executor.address = await self._serve(self.wrap_executor(executor.handle))
            self.store.put(f"servers/{executor.executor_id}", executor.describe())
        settings = SETTINGS.format(
            memory=self.memory,
            descriptors=self.descriptors,
            host=self._host,
            front=FRONT_PORT,
            ready=READY_PORT,
            store=await self._serve(self.wrap_store(self.store.handle)),
        )
        (self.folder / "node.conf").write_text(settings, encoding="utf-8")
        self._start()
        try:
            await self.call_ordinarily(1, START_LIMIT)
        except BaseException:
            await self.__aexit__()
            raise
        self._sampling = asyncio.ensure_future(self._sample())
        return self

    def wrap_executor(self, handler):
        """Return the handler of an executor's calls; subclasses may replace it."""
        return handler

    def wrap_store(self, handler):
        """Return the handler of the store's calls; subclasses may replace it."""
        return handler

    async def _serve(self, handler):
        runner, address = await serve_standin(handler)
        self._runners.append(runner)
        return address

    def _start(self):
        limit = (self.descriptors, self.descriptors)
        with (
            open(self.folder / "out", "wb") as out,
            open(self.folder / "err", "wb") as err,
        ):
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "peridotspoke.programs.node"],
                env=os.environ
                | {"PERIDOTSPOKE_NODE_FILE": str(self.folder / "node.conf")},
                stdout=out if self.output is None else self.output,
                stderr=err,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
            )

    async def _sample(self):
        watched = psutil.Process(self.process.pid)
        self.first_memory = watched.memory_info().rss
        with contextlib.suppress(psutil.Error):
            while True:
                memory = watched.memory_info().rss
                self.most_memory = max(self.most_memory, memory)
                opened = watched.num_fds()
                self.most_descriptors = max(self.most_descriptors, opened)
                await asyncio.sleep(SAMPLE_INTERVAL)

    async def call_ordinarily(self, number, limit=HANG_LIMIT):
        """Submit a small job until the node accepts it.

        Raises
        ------
        TimeoutError
            If it isn't accepted within `limit` seconds.
        """
        async with asyncio.timeout(limit):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    status, _ = await call(
                        f"{self._host}:{FRONT_PORT}", "POST", f"{number:016x}", ONE_STEP
                    )
                    if status == 200:
                        return
                await asyncio.sleep(0.2)

    async def submit(self, number, fields):
        """Submit a job once; return the status of the response.

        Parameters
        ----------
        number : int
            Becomes the job's ID.
        fields : dict
            Of the job, beside its spec.
        """
        body = json.dumps({"spec": "s", **fields})
        url = f"http://{self._host}:{FRONT_PORT}/q/{number:016x}"
        async with (
            aiohttp.ClientSession(headers={"Host": "jobs.example"}) as session,
            session.post(url, data=body) as response,
        ):
            return response.status

    async def complete(self, number, limit=HANG_LIMIT):
        """Submit a small job until the node accepts it, and wait for its completion.

        Raises
        ------
        TimeoutError
            If it isn't completed within `limit` seconds.
        """
        await self.call_ordinarily(number, limit)
        async with asyncio.timeout(limit):
            while True:
                address = f"{self._host}:{FRONT_PORT}"
                _, answer = await call(address, "GET", f"{number:016x}")
                if answer.get("state") == "completed":
                    return
                await asyncio.sleep(0.1)

    @contextlib.asynccontextmanager
    async def meet(self, kind, port=FRONT_PORT, connections=0):
        """Let a crowd send, and keep its connections open inside the block.

        Parameters
        ----------
        kind : str
        port : int, optional
        connections : int, optional
            By default, those of the crowd.
        """
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "peridotspoke.platform.tests.outsidecallers",
            kind,
            self._host,
            str(port),
            str(connections or ""),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(2 * HANG_LIMIT):
                assert await crowd.stdout.readline() == b"sent\n"
            yield
        finally:
            crowd.kill()
            await crowd.wait()

    def measure_output(self):
        """Return the size of standard output and error together, bytes."""
        return sum((self.folder / name).stat().st_size for name in ("out", "err"))

    async def __aexit__(self, *_):
        if self._sampling is not None:
            self._sampling.cancel()
        self.process.kill()
        self.process.wait()
        for runner in self._runners:
            await runner.cleanup()


async def check_bounds(node, kind, answered):
    """Check that a node lives and has kept to the bounds of its instance."""
    await asyncio.sleep(0.5)  # for what the end of the connections writes
    measured = (
        f"memory {node.first_memory / MEGABYTE:.1f} to "
        f"{node.most_memory / MEGABYTE:.1f} MB, "
        f"descriptors {node.most_descriptors}, output {node.measure_output()} "
        f"bytes, answered {answered}"
    )
    print(f"{kind}: {measured}")
    assert node.process.poll() is None, measured
    assert node.most_memory <= node.memory * MEGABYTE, measured
    assert node.most_descriptors <= node.descriptors - SPARE_DESCRIPTORS, measured
    assert node.measure_output() <= MOST_OUTPUT, measured
    assert answered, measured
