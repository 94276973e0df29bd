"""Decoder of the entries by which executors register in the store.

An entry may come from another writer and hold anything. One that can't be an executor's
is refused here as a whole, so that nothing else has to doubt an address or a number.
"""

import ipaddress
import re
from typing import Annotated

import msgspec

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError, RecordError
from peridotspoke.workloads.executors import ExecutorCondition, ExecutorEntry
from peridotspoke.workloads.jobs import Need

__all__ = ["ENTRY_PREFIX", "check_address", "decode_entry"]

ENTRY_PREFIX = "servers/"
MAX_PORT = 65535
MAX_PROCESSORS = 100_000_000  # thousandths of a core
MAX_MEMORY = 1_000_000_000  # MB
MAX_ACCELERATORS = 100_000
MAX_UNIX_TIME = 10_000_000_000_000  # milliseconds, in the year 2286
MAX_SEQUENCE = 2**63 - 1
MAX_REMAINING = 1_000_000_000  # milliseconds
MAX_HOST_LENGTH = 253  # characters, and 63 for each label, by RFC 1035

_VISIBLE_PATTERN = re.compile(r"[\x21-\x7e]+")
_HOST_PATTERN = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,62})(\.[a-z0-9_-]{1,63})*", re.I)


def _limit(most):
    return msgspec.Meta(ge=0, le=most)


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Annotated[int, _limit(MAX_PROCESSORS)] = 0
    mem_mb: Annotated[int, _limit(MAX_MEMORY)] = 0
    gpu: Annotated[int, _limit(MAX_ACCELERATORS)] = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    seq: Annotated[int, _limit(MAX_SEQUENCE)]
    capacity: _Capacity
    labels: list[str]
    born: Annotated[int, _limit(MAX_UNIX_TIME)] = 0
    remaining_ms: Annotated[float, _limit(MAX_REMAINING)] | None = None


def decode_entry(record):
    """Decode the heartbeat that an executor stores under ``servers/``.

    Parameters
    ----------
    record : Record

    Returns
    -------
    ExecutorEntry

    Raises
    ------
    RecordError
        If the value is not a heartbeat, its state is unknown, or its key, its address
        or one of its numbers can't be an executor's.
    """
    executor_id = record.key.partition("/")[2]
    try:
        heartbeat = decode_json(record.value, _Heartbeat)
        condition = ExecutorCondition(heartbeat.state)
        check_address(heartbeat.address)
        if not _VISIBLE_PATTERN.fullmatch(executor_id):
            raise ValueError(f"expected visible characters, found {executor_id!r}")
    except (MalformedDataError, ValueError) as error:
        raise RecordError(str(error), step="decode entry", peer=record.key) from error
    remaining = heartbeat.remaining_ms
    return ExecutorEntry(
        executor_id=executor_id,
        pool=heartbeat.service,
        address=heartbeat.address,
        zone=heartbeat.zone,
        condition=condition,
        capacity=Need(
            heartbeat.capacity.cpu, heartbeat.capacity.mem_mb, heartbeat.capacity.gpu
        ),
        labels=tuple(heartbeat.labels),
        incarnation=heartbeat.born,
        sequence=heartbeat.seq,
        remaining=None if remaining is None else remaining / 1000,
    )


def check_address(address):
    """Check that an address is a host and a port that a connection can be opened to.

    Parameters
    ----------
    address : str
        An IP address, in brackets if it has colons, or a host name; then a colon and
        the port.

    Raises
    ------
    ValueError
        If it is not.

    Examples
    --------
    >>> check_address("10.1.1.1:80")
    >>> check_address("[::1]:80")
    >>> check_address("10.1.1.1:99999")
    Traceback (most recent call last):
        ...
    ValueError: expected host:port with a port from 1 to 65535, found '10.1.1.1:99999'
    """
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not (is_port and 1 <= int(port) <= MAX_PORT and _is_host(host)):
        raise ValueError(
            f"expected host:port with a port from 1 to {MAX_PORT}, "
            f"found {address[:MAX_HOST_LENGTH]!r}"
        )


def _is_host(host):
    if host.startswith("[") and host.endswith("]"):
        return _is_ip_address(host[1:-1], 6)
    if len(host) > MAX_HOST_LENGTH or not _HOST_PATTERN.fullmatch(host):
        return False
    is_name = not host.replace(".", "").isdigit()
    return is_name or _is_ip_address(host, 4)


def _is_ip_address(text, version):
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False
