"""Decodes the documents that the operator stores, and encodes wave states for it."""

from typing import Annotated

import msgspec

from peridotspoke.store import decode_value
from peridotspoke.workloads.configuration import (
    Advice,
    Configuration,
    MaintenanceWave,
    Queue,
    WorkPool,
    Workspace,
)
from peridotspoke.workloads.jobs import Need, QueueTerms

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "WAVE_PREFIX",
    "decode_configuration",
    "decode_wave",
    "encode_wave_status",
    "key_wave_status",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
WAVE_PREFIX = "op/wave/"


_Amount = Annotated[int, msgspec.Meta(ge=0)]


class _Advice(msgspec.Struct, rename="camel"):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(msgspec.Struct, rename="camel"):
    """The platform's "route" is a queue in this system, and its "service" a pool."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.5
    target_latency_ms: float = 600.0
    advice: _Advice | None = None
    anonymous: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: str
    admission_check: bool = False
    spare: bool = False


class _MaxCount(msgspec.Struct, rename="camel"):
    """The platform's "maxCount" are resources in this system, not a count."""

    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Tenant(msgspec.Struct, rename="camel"):
    """The platform's "tenant" is a workspace in this system."""

    # An empty name stands for jobs of no workspace.
    name: Annotated[str, msgspec.Meta(min_length=1)]
    api_keys: list[str] = []
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    max_count: _MaxCount = msgspec.field(default_factory=_MaxCount)

    def __repr__(self):
        """Return the name alone, so that nothing shows a key."""
        return f"_Tenant({self.name!r})"


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Wave(msgspec.Struct, rename="camel"):
    wave: int
    machines: list[str]
    duration_s: float
    max_count: int


def decode_configuration(record):
    """Decode the operator's configuration.

    Parameters
    ----------
    record : Record

    Returns
    -------
    Configuration

    Raises
    ------
    RecordError
        If the value is not JSON of the expected form.
    """
    config = decode_value(record, _Config)
    return Configuration(
        config.version,
        tuple(_make_queue(route) for route in config.routes),
        tuple(
            WorkPool(item.name, item.admission_check, item.spare)
            for item in config.services
        ),
        config.limits.max_body_bytes,
        tuple(_make_workspace(tenant) for tenant in config.tenants),
    )


def decode_wave(record):
    """Decode the operator's order of a maintenance wave.

    Parameters
    ----------
    record : Record

    Returns
    -------
    MaintenanceWave

    Raises
    ------
    RecordError
        If the value is not JSON of the expected form.
    """
    wave = decode_value(record, _Wave)
    return MaintenanceWave(
        wave.wave, tuple(wave.machines), wave.duration_s, wave.max_count
    )


def key_wave_status(number):
    """Return the key of the state of wave `number`, which the operator reads."""
    return f"status/wave/{number}"


def encode_wave_status(completed):
    """Encode the state of a wave.

    Parameters
    ----------
    completed : bool
        Whether the maintenance of all its machines is over.

    Returns
    -------
    bytes
        JSON with the state "completed" or "running".
    """
    state = "completed" if completed else "running"
    return msgspec.json.encode({"state": state})


def _make_queue(route):
    advice = route.advice and Advice(
        route.advice.decide_ms / 1000,
        route.advice.each_ms / 1000,
        route.advice.valid_ms / 1000,
    )
    terms = QueueTerms(
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / 1000,
        advice is not None,
    )
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        terms,
        advice,
        route.anonymous,
    )


def _make_workspace(tenant):
    limit = tenant.max_count
    return Workspace(
        tenant.name,
        frozenset(tenant.api_keys),
        tenant.weight,
        Need(limit.cpu, limit.mem_mb, limit.gpu),
    )
