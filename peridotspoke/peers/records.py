"""What each live process says of itself in the platform's service."""

from dataclasses import dataclass
from typing import Literal

__all__ = ["MEMBERS_PREFIX", "MemberRecord", "key_member", "make_member"]

MEMBERS_PREFIX = "members/"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A process that is alive while its lease is.

    `address` is for peers, over gRPC; `version` is the configuration in force;
    `incarnation` differs each time that the process starts.
    """

    name: str
    role: Literal["entry", "control"]
    zone: str
    address: str
    incarnation: int
    version: int = 0
    stopping: bool = False


def key_member(name):
    """Return the key of a process's record."""
    return MEMBERS_PREFIX + name


def make_member(settings, role, clock):
    """Return the `MemberRecord` of a process that starts; its address is set later.

    Parameters
    ----------
    settings : EntrySettings or ControlSettings
    role : str
        ``entry`` or ``control``.
    clock : Clock
        The wall clock gives the incarnation, in milliseconds.
    """
    incarnation = int(clock.read_wall() * 1000)
    return MemberRecord(settings.name, role, settings.zone, "", incarnation)
