"""Progress of a published version's roll-out in each availability zone."""

from dataclasses import dataclass

__all__ = ["RollOut", "ZoneProgress", "measure_roll_out"]


@dataclass(frozen=True, slots=True)
class ZoneProgress:
    """The progress of a version's roll-out in one zone.

    Parameters
    ----------
    zone : str
    done : int
        Processes that have this version or a newer one in force.
    total : int
        Processes of the zone that aren't stopping.
    lacking : tuple of str
        Names of the processes that still have an older version.
    """

    zone: str
    done: int
    total: int
    lacking: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RollOut:
    """The progress of a version's roll-out in all zones.

    Parameters
    ----------
    version : int
    zones : tuple of ZoneProgress
        In the order of the zones' names.
    """

    version: int
    zones: tuple[ZoneProgress, ...]

    def is_complete(self):
        """Return whether every process that isn't stopping has the version in force."""
        return all(zone.done == zone.total for zone in self.zones)


def measure_roll_out(version, members):
    """Return the `RollOut` of `version`.

    Parameters
    ----------
    version : int
    members : iterable of MemberRecord
        The live processes. Stopping ones are left out; one with a newer version
        counts as having this one.
    """
    zones = {}
    for member in members:
        if not member.stopping:
            zones.setdefault(member.zone, []).append(member)
    return RollOut(
        version,
        tuple(
            _measure_zone(version, zone, present)
            for zone, present in sorted(zones.items())
        ),
    )


def _measure_zone(version, zone, members):
    lacking = tuple(item.name for item in members if item.version < version)
    return ZoneProgress(zone, len(members) - len(lacking), len(members), lacking)
