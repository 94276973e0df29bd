"""What each live process says of itself in the platform's service."""

from dataclasses import dataclass
from typing import Literal

__all__ = ["MEMBERS_PREFIX", "MemberRecord", "key_member"]

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
