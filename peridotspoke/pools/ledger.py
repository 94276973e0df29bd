"""The disruption ledger: which instances of a pool are out, and who may be next."""

from dataclasses import dataclass, replace

from peridotspoke.pools.records import OperationKind

__all__ = [
    "POOLS_PREFIX",
    "Disruption",
    "DisruptionLedger",
    "PermitRequest",
    "Refusal",
    "add_disruption",
    "add_failures",
    "check_budget",
    "count_out",
    "decide_permit",
    "key_ledger",
    "remove_disruptions",
]

POOLS_PREFIX = "pools/"
LEDGER_SUFFIX = "/disruptions"


@dataclass(frozen=True, slots=True)
class Disruption:
    """One instance that is out of service, or may be taken out.

    Parameters
    ----------
    instance : str
    operation : str
    kind : OperationKind
    reason : str
        With its figures.
    since : float
        Seconds since the Unix epoch.
    record_epoch : int
        Epoch of the instance's record when the entry was made.
    arriving : bool
        Whether the instance is on its way into the pool by a move.
    """

    instance: str
    operation: str
    kind: OperationKind
    reason: str
    since: float
    record_epoch: int
    arriving: bool = False


@dataclass(frozen=True, slots=True)
class DisruptionLedger:
    """All disruptions of one pool."""

    pool: str
    disruptions: tuple[Disruption, ...] = ()

    def find(self, operation):
        """Return the entry of an operation, or None."""
        found = (item for item in self.disruptions if item.operation == operation)
        return next(found, None)


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A wish to take one instance out, and the limits that must hold.

    Parameters
    ----------
    disruption : Disruption
    max_unavailable : int
        The pool's availability budget.
    need : int
        Instances that the pool needs.
    view_bound : float
        Age above which a view of the pool grants nothing, seconds.
    """

    disruption: Disruption
    max_unavailable: int
    need: int
    view_bound: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a permit was not granted, in figures."""

    reason: str


def key_ledger(pool):
    """Return the key of a pool's disruption ledger."""
    return POOLS_PREFIX + pool + LEDGER_SUFFIX


def decide_permit(ledger, condition, request):
    """Return the ledger with the wanted entry, or a `Refusal`.

    An instance counts as out if the ledger names it, if its record is in any phase
    but serving, or if the platform's list lacks it or has it leaving.

    Parameters
    ----------
    ledger : DisruptionLedger
    condition : PoolCondition
    request : PermitRequest

    Returns
    -------
    DisruptionLedger or Refusal
    """
    wanted = request.disruption
    if wanted.arriving:
        return _decide_arrival(ledger, request)
    if condition.age > request.view_bound:
        return Refusal(
            f"the view is {condition.age:.1f} s old, bound {request.view_bound:g} s"
        )
    out = count_out(ledger, condition)
    if wanted.instance in out:
        return Refusal(f"{wanted.instance} is out already")
    refusal = check_budget(
        ledger,
        condition,
        frozenset({wanted.instance}),
        request.max_unavailable,
        request.need,
    )
    return refusal or add_disruption(ledger, wanted)


def _decide_arrival(ledger, request):
    """Let an instance arrive beside failures, but not beside much planned work.

    It takes nothing from the pool; with failures counted, a pool that is short could
    not be helped.
    """
    planned = [
        item for item in ledger.disruptions if item.kind is not OperationKind.FAILURE
    ]
    known = ledger.find(request.disruption.operation) is not None
    if not known and len(planned) >= request.max_unavailable:
        return Refusal(
            f"{len(planned)} planned disruptions, max_unavailable "
            f"{request.max_unavailable}"
        )
    return add_disruption(ledger, request.disruption)


def count_out(ledger, condition):
    """Return the names of all instances that count as out of service."""
    named = {item.instance for item in ledger.disruptions}
    return named | condition.out


def check_budget(ledger, condition, wanted, max_unavailable, need):
    """Return a `Refusal` if the pool's budget does not hold, or None.

    It holds with `wanted` out as well if no more than `max_unavailable` are out, all
    of them are in one rack, and `need` instances are left, also after the loss of
    any one rack.

    Parameters
    ----------
    ledger : DisruptionLedger
    condition : PoolCondition
    wanted : frozenset of str
        Instances that would be out as well.
    max_unavailable, need : int

    Notes
    -----
    A pool whose racks can't cover a loss even with all but one instance in service
    has only the plain need to hold, or it could never be maintained.
    """
    out = count_out(ledger, condition) | wanted
    if len(out) > max_unavailable:
        return Refusal(
            f"{len(out)} of {condition.size} would be out, max_unavailable "
            f"{max_unavailable}: {', '.join(sorted(out))}"
        )
    racks = {condition.racks[name] for name in out if name in condition.racks}
    if len(racks) > 1:
        names = sorted("/".join(rack) for rack in racks)
        return Refusal(f"{len(racks)} racks would have one out: {', '.join(names)}")
    return _check_need(condition, out, need)


def _check_need(condition, out, need):
    left = condition.count_available(out)
    if left < need:
        return Refusal(f"{left} left of {condition.size}, need {need}")
    guarded = condition.count_after_rack_loss(frozenset()) - 1 >= need
    after_loss = condition.count_after_rack_loss(out)
    if guarded and after_loss < need:
        return Refusal(f"{after_loss} left after the loss of a rack, need {need}")
    return None


def add_disruption(ledger, disruption):
    """Return the ledger with an entry; an entry of the same operation is kept."""
    if ledger.find(disruption.operation):
        return ledger
    return replace(ledger, disruptions=(*ledger.disruptions, disruption))


def add_failures(ledger, failures):
    """Return the ledger with an entry for each failed instance that it lacks.

    Failures are counted, never refused: the budget then holds back planned work.
    """
    named = {item.instance for item in ledger.disruptions}
    fresh = tuple(item for item in failures if item.instance not in named)
    return replace(ledger, disruptions=ledger.disruptions + fresh) if fresh else ledger


def remove_disruptions(ledger, operations):
    """Return the ledger without the entries of `operations`."""
    left = tuple(
        item for item in ledger.disruptions if item.operation not in operations
    )
    return replace(ledger, disruptions=left)
