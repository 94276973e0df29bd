"""gRPC between the system's own processes."""

from peridotspoke.peers.records import MEMBERS_PREFIX, MemberRecord, key_member

__all__ = ["MEMBERS_PREFIX", "MemberRecord", "key_member"]
