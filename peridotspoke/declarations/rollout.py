"""How far a published version is in force, by availability zone."""

from dataclasses import dataclass

__all__ = ["RollOut", "ZoneProgress", "measure_roll_out"]


@dataclass(frozen=True, slots=True)
class ZoneProgress:
    """How many processes of a zone have the version in force, and which lack it."""

    zone: str
    done: int
    total: int
    lacking: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RollOut:
    """The progress of a version in each zone."""

    version: int
    zones: tuple[ZoneProgress, ...]

    def is_complete(self):
        """Return whether each process has the version in force."""
        return all(zone.done == zone.total for zone in self.zones)


def measure_roll_out(version, members):
    """Return the `RollOut` of `version`.

    Parameters
    ----------
    version : int
    members : iterable of MemberRecord
        Those that stop are left out; a newer version counts as this one.
    """
    zones = {}
    for member in members:
        if not member.stopping:
            zones.setdefault(member.zone, []).append(member)
    return RollOut(
        version,
        tuple(
            _measure_zone(version, zone, found) for zone, found in sorted(zones.items())
        ),
    )


def _measure_zone(version, zone, members):
    lacking = tuple(item.name for item in members if item.version < version)
    return ZoneProgress(zone, len(members) - len(lacking), len(members), lacking)
