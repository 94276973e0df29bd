"""Member records, which live processes store in the platform's key-value service."""

from dataclasses import dataclass
from typing import Literal

__all__ = ["MEMBERS_PREFIX", "MemberRecord", "key_member", "make_member"]

MEMBERS_PREFIX = "members/"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record of a live process, deleted when the lease of the process ends.

    Parameters
    ----------
    name : str
    role : str
        ``entry`` or ``control``.
    zone : str
    address : str
        Address on which the process serves peers over gRPC.
    incarnation : int
        Number that is different for each start of the process.
    version : int, optional
        Version of the configuration in force.
    stopping : bool, optional
        Whether the process is shutting down.
    """

    name: str
    role: Literal["entry", "control"]
    zone: str
    address: str
    incarnation: int
    version: int = 0
    stopping: bool = False


def key_member(name):
    """Return the key under which a process's member record is stored."""
    return MEMBERS_PREFIX + name


def make_member(settings, role, clock):
    """Return the `MemberRecord` of a starting process, without its address.

    Parameters
    ----------
    settings : EntrySettings or ControlSettings
    role : str
        ``entry`` or ``control``.
    clock : Clock
        Its wall-clock time in milliseconds is used as the incarnation.

    Returns
    -------
    MemberRecord
    """
    incarnation = int(clock.read_wall() * 1000)
    return MemberRecord(settings.name, role, settings.zone, "", incarnation)
