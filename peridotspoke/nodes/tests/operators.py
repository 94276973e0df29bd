"""Configurations with workspaces, and a store that serves them, for tests."""

import asyncio
from dataclasses import replace

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.nodes.access import FreshReads
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.node import DocumentCodec, Node
from peridotspoke.nodes.settings import Bounds
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts
from peridotspoke.store import Change, Record, Snapshot, WatchBatch
from peridotspoke.workloads.access import CallerKey
from peridotspoke.workloads.configuration import (
    Configuration,
    Queue,
    WorkPool,
    Workspace,
)
from peridotspoke.workloads.jobs import Job, Need, Step

CONFIGURATION_KEY = "op/config"
QUEUES = (
    Queue("queue", "host", "/q/", "pool"),
    Queue("open", "host", "/open/", "pool", anonymous=True),
)
OLIVE = CallerKey(("SECRET-olive",))
PLUM = CallerKey(("SECRET-plum",))
NEW = CallerKey(("SECRET-new",))
WORKSPACES = (
    Workspace("olive", frozenset(OLIVE.lines), limit=Need(cpu=1000)),
    Workspace("plum", frozenset(PLUM.lines)),
)


def make_configuration(version, workspaces=WORKSPACES, queues=QUEUES):
    return Configuration(
        version, queues, (WorkPool("pool"),), workspaces=tuple(workspaces)
    )


class OperatorStore(InMemoryStore):
    """A store with the operator's configuration.

    Attributes
    ----------
    configuration : Configuration or None
        The acknowledged one; None if its record can't be read.
    config_reads : list of float
        Times at which the configuration's record was read.
    is_away : bool
        Whether the store refuses all calls of this node.
    read_time : float
        How long the configuration's record takes to arrive, seconds.
    may_read, may_poll : asyncio.Event
        Reads of the configuration wait for the one, which is set at first, and each
        poll of a watch for the other.
    """

    watch_is_complete = True

    def __init__(self):
        super().__init__()
        self.configuration = make_configuration(2)
        self.clock = None
        self.config_reads = []
        self.is_away = False
        self.read_time = 0.0
        self.may_read, self.may_poll = asyncio.Event(), asyncio.Event()
        self.may_read.set()

    def publish(self, configuration):
        """Acknowledge a configuration; None for one that can't be read."""
        self.revision += 1
        self.configuration = configuration

    def make_record(self):
        return Record(CONFIGURATION_KEY, b"SECRET", self.revision)

    def decode(self, record):
        if self.configuration is None:
            raise RecordError("unreadable", step="decode record", peer=record.key)
        return self.configuration

    async def read(self, key):
        if self.is_away:
            raise PlatformUnavailableError("refused", step="read", peer="store")
        if key != CONFIGURATION_KEY:
            return await super().read(key)
        self.config_reads.append(self.clock.read_monotonic())
        record = self.make_record()
        await self.may_read.wait()
        self.clock.advance(self.read_time)
        if self.is_away:
            raise AnswerLostError("lost", step="read", peer="store")
        return record

    async def read_prefix(self, prefix):
        if self.is_away:
            raise PlatformUnavailableError("refused", step="read", peer="store")
        if prefix != "op/":
            return await super().read_prefix(prefix)
        return Snapshot((self.make_record(),), self.revision)

    async def watch(self, prefix, from_revision):
        known = from_revision
        while True:
            revision, record = self.revision, self.make_record()
            self.may_poll.clear()
            await self.may_poll.wait()
            if self.is_away:
                raise AnswerLostError("no answer", step="watch", peer="store")
            change = Change(record.key, record, record.revision)
            yield WatchBatch((change,) if revision > known else (), revision)
            known = revision


def decode_job(body, job_id, queue, wall):
    """Return a job of one task that needs as many thousandths of a core as is told."""
    steps = (Step(1, Need(cpu=int(body or 0))),)
    return Job(job_id, queue.name, queue.pool, "spec", steps, accepted_at=wall)


def make_codec(store):
    unused = None
    return DocumentCodec(
        "op/",
        CONFIGURATION_KEY,
        "op/wave/",
        "servers/",
        store.decode,
        unused,
        unused,
        unused,
        unused,
    )


def make_node(revocation=0.0, store=None, name="n1"):
    """Return the parts and the handler of a node that has read the configuration."""
    store = store or OperatorStore()
    parts = make_parts(name, store)
    store.clock = parts.clock
    parts.settings = replace(parts.settings, bounds=Bounds(revocation=revocation))

    async def sleep(seconds):
        parts.clock.advance(seconds)
        await asyncio.sleep(0)

    parts.fresh_reads = FreshReads(parts, make_codec(store), sleep)
    parts.view.apply_configuration(store.configuration)
    parts.view.confirm_configuration(parts.clock.read_monotonic())
    return parts, JobRequestHandler(parts, decode_job)


async def call_all(handler, key, path):
    """Return the answers to each kind of call about a job, with one key."""
    return [
        await handler.submit("host", path, b"", key),
        await handler.show("host", path, key),
        await handler.cancel("host", path, key),
        await handler.show("host", path.rpartition("/")[0] + "/", key),
    ]


async def run_tasks(turns=20):
    """Let the other tasks run until they wait."""
    for _ in range(turns):
        await asyncio.sleep(0)


async def follow_operator(parts):
    """Let a node follow the operator's records; return the task."""
    node = Node(parts, make_codec(parts.store))
    parts.view.proved_at = float("-inf")
    following = asyncio.ensure_future(node._follow_operator())
    await run_tasks()
    return following
