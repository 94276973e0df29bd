"""What a controller's round sees, and what it decides to do."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from peridotspoke.planning import PlannedMove
from peridotspoke.pools.conditions import PoolCondition
from peridotspoke.pools.drains import DrainBounds, EntryView
from peridotspoke.pools.ledger import Disruption, DisruptionLedger, PermitRequest
from peridotspoke.pools.maintenance import LateMaintenance
from peridotspoke.pools.records import InstanceRecord, Operation
from peridotspoke.store import ListedInstance, UsageReport

if TYPE_CHECKING:
    # Declarations import peers, which import this subpackage.
    from peridotspoke.declarations import Configuration

__all__ = [
    "AddRecord",
    "BeginOperation",
    "FleetView",
    "NoteFailures",
    "RebootInstance",
    "ReplaceRecord",
    "ReportLate",
    "RetireRecord",
    "ReturnPermits",
    "RoundBounds",
]


@dataclass(frozen=True, slots=True)
class RoundBounds:
    """The bounds of a controller's decisions, in seconds.

    Parameters
    ----------
    drain : DrainBounds
    list_age : float
        Age of the instance list above which no permit is granted.
    operation : float
        Time after which a drain that has not ended is given back.
    orphan : float
        Time after which a permit without an operation is returned.
    retire : float
        Time that an instance is unlisted before its record is deleted.
    retell : float
        Time between two calls that ask the platform for the same action.
    maintenance : float
        How long the maintenance of one instance takes.
    pause : float
        Time without a round after which all records are read again.
    """

    drain: DrainBounds
    list_age: float = 90.0
    operation: float = 900.0
    orphan: float = 30.0
    retire: float = 1800.0
    retell: float = 30.0
    maintenance: float = 600.0
    pause: float = 5.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """All that one round of a controller rests on.

    Parameters
    ----------
    controller : str
        Name of this controller.
    wall, monotonic : float
        The time, in seconds since the Unix epoch and on the monotonic clock.
    configuration : Configuration
    listed : mapping of str to ListedInstance
        The last list that could be read.
    list_age : float
        Seconds since it was read.
    records : mapping of str to InstanceRecord
    ledgers : mapping of str to DisruptionLedger
    owned : frozenset of str
        The pools that this controller may act on.
    entries : tuple of EntryView
    announced_at : mapping of str to float
        Monotonic time, by instance, at which this controller first saw the drain.
    told_at : mapping of str to float
        Monotonic time, by instance, of the last call to the platform.
    missing_since : mapping of str to float
        Monotonic time, by instance, since which the list lacks it.
    moves : tuple of PlannedMove
    unreadable : frozenset of str
        Instances whose record does not parse.
    usage : tuple of UsageReport
        The last that could be read.
    settled : bool
        Whether this controller has watched the members for long enough to know of
        the entry instances that are cut off.
    refusals : mapping of str to str
        Why the last planned work of a pool was refused, by pool.
    """

    controller: str
    wall: float
    monotonic: float
    configuration: "Configuration"
    listed: Mapping[str, ListedInstance]
    list_age: float
    records: Mapping[str, InstanceRecord]
    ledgers: Mapping[str, DisruptionLedger]
    owned: frozenset[str]
    entries: tuple[EntryView, ...] = ()
    announced_at: Mapping[str, float] = field(default_factory=dict)
    told_at: Mapping[str, float] = field(default_factory=dict)
    missing_since: Mapping[str, float] = field(default_factory=dict)
    moves: tuple[PlannedMove, ...] = ()
    unreadable: frozenset[str] = frozenset()
    usage: tuple[UsageReport, ...] = ()
    settled: bool = True
    refusals: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AddRecord:
    """Write the first record of a listed instance."""

    listed: ListedInstance
    pool: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplaceRecord:
    """Swap an instance's record for its successor.

    `arrival` is an entry that must stand in the target pool's ledger before.
    """

    before: InstanceRecord
    after: InstanceRecord
    reason: str
    arrival: PermitRequest | None = None


@dataclass(frozen=True, slots=True)
class RetireRecord:
    """Delete the record of an instance that is gone."""

    record: InstanceRecord
    reason: str


@dataclass(frozen=True, slots=True)
class BeginOperation:
    """Take a permit, then let the instance drain."""

    record: InstanceRecord
    operation: Operation
    request: PermitRequest
    condition: PoolCondition


@dataclass(frozen=True, slots=True)
class RebootInstance:
    """Ask the platform to restart an empty instance of this incarnation."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NoteFailures:
    """Write failed instances into a pool's ledger."""

    pool: str
    failures: tuple[Disruption, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class ReturnPermits:
    """Remove entries from a pool's ledger."""

    pool: str
    operations: frozenset[str]
    reason: str


@dataclass(frozen=True, slots=True)
class ReportLate:
    """Tell operators what will not be maintained in time."""

    pool: str
    late: tuple[LateMaintenance, ...]
