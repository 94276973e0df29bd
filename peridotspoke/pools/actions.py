"""The view that a controller's round is based on, and the actions it results in."""

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
    # Not imported at run time: declarations imports peers, which imports pools.
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
    """Time limits of a controller's decisions, in seconds.

    Parameters
    ----------
    drain : DrainBounds
    list_age : float
        Maximum age of the instance list on which a permit is granted.
    operation : float
        Time after which an unfinished drain is cancelled.
    unused_permit_age : float
        Age after which a permit that no operation has used is fenced, so that it
        can be returned.
    missing_before_retire : float
        Time for which an instance must be missing from the list before its record
        is deleted.
    reboot_retry_interval : float
        Minimum time between two requests to reboot the same instance.
    maintenance : float
        Expected duration of the maintenance of one instance.
    pause_threshold : float
        Time without a round after which the process counts as paused and reads all
        records again.
    """

    drain: DrainBounds
    list_age: float = 90.0
    operation: float = 900.0
    unused_permit_age: float = 30.0
    missing_before_retire: float = 1800.0
    reboot_retry_interval: float = 30.0
    maintenance: float = 600.0
    pause_threshold: float = 5.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """The state that one round of a controller is based on.

    Parameters
    ----------
    controller : str
        Name of this controller.
    wall, monotonic : float
        The current time, in seconds since the Unix epoch and in seconds on the
        monotonic clock.
    configuration : Configuration
    listed : mapping of str to ListedInstance
        The last instance list that could be read, by instance name.
    list_age : float
        Seconds since that list was requested.
    records : mapping of str to InstanceRecord
        By instance name.
    ledgers : mapping of str to DisruptionLedger
        By pool name.
    owned : frozenset of str
        The pools that this controller may act on.
    entries : tuple of EntryView
    announced_at : mapping of str to float
        Monotonic time, in seconds, at which this controller first saw an instance's
        draining record, by instance name.
    reboot_requested_at : mapping of str to float
        Monotonic time, in seconds, of the last request to reboot an instance, by
        instance name.
    missing_since : mapping of str to float
        Monotonic time, in seconds, at which an instance was first missing from the
        list, by instance name.
    moves : tuple of PlannedMove
    unreadable : frozenset of str
        Instances whose record could not be decoded.
    usage : tuple of UsageReport
        The last usage reports that could be read.
    warmed_up : bool
        Whether this controller has tracked the members for long enough to know of
        every entry instance that may be partitioned from the platform and still
        have requests in flight.
    refusals : mapping of str to str
        Why the last planned operation of a pool was refused, by pool name.
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
    reboot_requested_at: Mapping[str, float] = field(default_factory=dict)
    missing_since: Mapping[str, float] = field(default_factory=dict)
    moves: tuple[PlannedMove, ...] = ()
    unreadable: frozenset[str] = frozenset()
    usage: tuple[UsageReport, ...] = ()
    warmed_up: bool = True
    refusals: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AddRecord:
    """Write the first record of a listed instance.

    Parameters
    ----------
    listed : ListedInstance
    pool, reason : str
    """

    listed: ListedInstance
    pool: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplaceRecord:
    """Replace an instance's record.

    Parameters
    ----------
    before, after : InstanceRecord
    reason : str
    arrival : PermitRequest or None
        For a move, the permit to enter into the target pool's ledger before the
        record is replaced.
    """

    before: InstanceRecord
    after: InstanceRecord
    reason: str
    arrival: PermitRequest | None = None


@dataclass(frozen=True, slots=True)
class RetireRecord:
    """Delete the record of an instance that is no longer listed."""

    record: InstanceRecord
    reason: str


@dataclass(frozen=True, slots=True)
class BeginOperation:
    """Take a permit, then write the draining record.

    Parameters
    ----------
    record : InstanceRecord
        In phase serving.
    operation : Operation
    request : PermitRequest
    condition : PoolCondition
        The pool's condition on which the permit is decided.
    """

    record: InstanceRecord
    operation: Operation
    request: PermitRequest
    condition: PoolCondition


@dataclass(frozen=True, slots=True)
class RebootInstance:
    """Ask the platform to reboot an instance in the phase rebooting.

    Parameters
    ----------
    instance : str
    incarnation : int
        Incarnation to reboot; a newer one must not be rebooted again.
    """

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NoteFailures:
    """Add the entries of failed instances to a pool's ledger."""

    pool: str
    failures: tuple[Disruption, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class ReturnPermits:
    """Remove the entries of ended operations from a pool's ledger."""

    pool: str
    operations: frozenset[str]
    reason: str


@dataclass(frozen=True, slots=True)
class ReportLate:
    """Report the instances of a pool whose maintenance will be late, or none."""

    pool: str
    late: tuple[LateMaintenance, ...]
