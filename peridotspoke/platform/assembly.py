"""Creates a node with the clients of the platform's interfaces."""

import random
from functools import partial

from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.advicequeue import AdviceQueue
from peridotspoke.nodes.commits import TimedCommits
from peridotspoke.nodes.node import DocumentCodec, Node
from peridotspoke.nodes.parts import BoottimeClock, NodeParts
from peridotspoke.nodes.view import StoreView
from peridotspoke.platform.advice import HttpAdvice
from peridotspoke.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
    encode_wave_status,
    key_wave_status,
)
from peridotspoke.platform.entries import ENTRY_PREFIX, decode_entry
from peridotspoke.platform.executors import HttpExecutor
from peridotspoke.platform.http import HttpPeer, ResponseLimits, ResponseMemory
from peridotspoke.platform.keyvalue import MetadataStore
from peridotspoke.platform.machines import HttpMachines

__all__ = ["assemble_node"]

# Of the executors, the machines' interface and the advice service.
SERVICE_RESPONSES = ResponseLimits(2_000_000, 8_000_000, 16_384)
MACHINES_TIMEOUT = 1.5  # seconds for one call


def assemble_node(settings):
    """Create a node that uses the platform's interfaces.

    Parameters
    ----------
    settings : NodeSettings
        Clients of the machines' interface and of the advice service are created only
        if it has their addresses.

    Returns
    -------
    tuple of (NodeParts, Node)
    """
    parts = NodeParts(
        settings, BoottimeClock(), StoreView(), MetricsRegistry(), random.Random()
    )
    store_peer = HttpPeer(settings.store)
    parts.peers = (store_peer,)
    parts.store = MetadataStore(
        store_peer,
        parts.clock,
        settings.timing.store_call,
        on_call=parts.record_store_call,
    )
    observe_commit = partial(parts.metrics.observe, "store_commit_seconds")
    parts.commits = TimedCommits(parts.store, parts.clock, observe_commit)
    parts.cancel_stale_calls = parts.store.cancel_stale_calls
    memory = ResponseMemory(SERVICE_RESPONSES)
    parts.open_executor = lambda entry: HttpExecutor(
        HttpPeer(entry.address, memory=memory),
        entry.executor_id,
        settings.timing.call,
    )
    if settings.machines:
        machines_peer = HttpPeer(settings.machines, memory=memory)
        parts.peers += (machines_peer,)
        parts.machines = HttpMachines(machines_peer, MACHINES_TIMEOUT)
    if settings.advice:
        advice_peer = HttpPeer(settings.advice, memory=memory)
        parts.peers += (advice_peer,)
        parts.advice = AdviceQueue(HttpAdvice(advice_peer), parts.clock)
    codec = DocumentCodec(
        OPERATOR_PREFIX,
        CONFIGURATION_KEY,
        WAVE_PREFIX,
        ENTRY_PREFIX,
        decode_configuration,
        decode_wave,
        decode_entry,
        encode_wave_status,
        key_wave_status,
    )
    return parts, Node(parts, codec)
