"""The disruption ledger, which limits how many instances of a pool are unavailable."""

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
    "find_unavailable",
    "decide_permit",
    "key_ledger",
    "remove_disruptions",
]

POOLS_PREFIX = "pools/"
LEDGER_SUFFIX = "/disruptions"


@dataclass(frozen=True, slots=True)
class Disruption:
    """A ledger entry for an instance that is, or may be taken, out of service.

    Parameters
    ----------
    instance : str
    operation : str
        Id of the operation that the entry was made for.
    kind : OperationKind
    reason : str
        Why the instance is out of service, with the figures behind it.
    since : float
        Time at which the entry was made, in seconds since the Unix epoch.
    record_epoch : int
        Epoch of the instance's record at that time.
    arriving : bool
        Whether a move is bringing the instance into the pool.
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
    """All disruptions of one pool.

    Parameters
    ----------
    pool : str
    disruptions : tuple of Disruption
    """

    pool: str
    disruptions: tuple[Disruption, ...] = ()

    def find(self, operation):
        """Return the `Disruption` of an operation id, or None."""
        found = (item for item in self.disruptions if item.operation == operation)
        return next(found, None)


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request to take one instance out of service, with the limits to check.

    Parameters
    ----------
    disruption : Disruption
        The entry to add to the ledger.
    max_unavailable : int
        The pool's availability budget, in instances.
    need : int
        Number of instances that the pool needs in service.
    view_bound : float
        Maximum age of the pool's condition, in seconds. No permit is granted on an
        older one.
    """

    disruption: Disruption
    max_unavailable: int
    need: int
    view_bound: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a permit was not granted, with the figures behind it."""

    reason: str


def key_ledger(pool):
    """Return the store key of a pool's disruption ledger."""
    return POOLS_PREFIX + pool + LEDGER_SUFFIX


def decide_permit(ledger, condition, request):
    """Grant or refuse a permit.

    An instance counts as unavailable if the ledger has an entry for it, if its
    record is in any phase except serving, or if the platform does not list it as
    live.

    Parameters
    ----------
    ledger : DisruptionLedger
    condition : PoolCondition or None
        Not used for an arriving instance.
    request : PermitRequest

    Returns
    -------
    DisruptionLedger or Refusal
        The ledger with the requested entry added if the permit is granted.
    """
    wanted = request.disruption
    if wanted.arriving:
        return _decide_arrival(ledger, request)
    if condition.age > request.view_bound:
        return Refusal(
            f"the view is {condition.age:.1f} s old, bound {request.view_bound:g} s"
        )
    unavailable = find_unavailable(ledger, condition)
    if wanted.instance in unavailable:
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
    """Grant or refuse a permit for an instance that a move brings into the pool.

    Only planned disruptions count against the budget here. The arrival does not
    reduce the pool's capacity, and if failures counted, a pool with too few
    instances could not receive any.
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


def find_unavailable(ledger, condition):
    """Return the names of all instances that count as unavailable, as a set of str."""
    named = {item.instance for item in ledger.disruptions}
    return named | condition.unavailable


def check_budget(ledger, condition, wanted, max_unavailable, need):
    """Return a `Refusal` if the pool's availability budget is exceeded, or None.

    With the instances in `wanted` unavailable as well, at most `max_unavailable`
    instances may be unavailable, all of them in one rack, and at least `need`
    instances must be left, even after the loss of any one rack.

    Parameters
    ----------
    ledger : DisruptionLedger
    condition : PoolCondition
    wanted : frozenset of str
        Further instances to count as unavailable.
    max_unavailable : int
        The availability budget, in instances.
    need : int
        Number of instances that the pool needs in service.

    Returns
    -------
    Refusal or None

    Notes
    -----
    The loss of a rack is not considered for a pool that could not cover it with
    even one instance out of service. Otherwise such a pool could never be
    maintained.
    """
    unavailable = find_unavailable(ledger, condition) | wanted
    if len(unavailable) > max_unavailable:
        return Refusal(
            f"{len(unavailable)} of {condition.size} would be out, max_unavailable "
            f"{max_unavailable}: {', '.join(sorted(unavailable))}"
        )
    racks = {condition.racks[name] for name in unavailable if name in condition.racks}
    if len(racks) > 1:
        names = sorted("/".join(rack) for rack in racks)
        return Refusal(f"{len(racks)} racks would have one out: {', '.join(names)}")
    return _check_need(condition, unavailable, need)


def _check_need(condition, unavailable, need):
    left = condition.count_available(unavailable)
    if left < need:
        return Refusal(f"{left} left of {condition.size}, need {need}")
    guarded = condition.count_after_rack_loss(frozenset()) - 1 >= need
    after_loss = condition.count_after_rack_loss(unavailable)
    if guarded and after_loss < need:
        return Refusal(f"{after_loss} left after the loss of a rack, need {need}")
    return None


def add_disruption(ledger, disruption):
    """Return the ledger with an entry added.

    The ledger is returned unchanged if it already has an entry for the operation.
    """
    if ledger.find(disruption.operation):
        return ledger
    return replace(ledger, disruptions=(*ledger.disruptions, disruption))


def add_failures(ledger, failures):
    """Return the ledger with the failures of instances that it has no entry for.

    Failures are never refused. They count against the availability budget, so that
    planned operations wait.

    Parameters
    ----------
    ledger : DisruptionLedger
    failures : iterable of Disruption
    """
    named = {item.instance for item in ledger.disruptions}
    new_failures = tuple(item for item in failures if item.instance not in named)
    return (
        replace(ledger, disruptions=ledger.disruptions + new_failures)
        if new_failures
        else ledger
    )


def remove_disruptions(ledger, operations):
    """Return the ledger without the entries of the operation ids in `operations`."""
    left = tuple(
        item for item in ledger.disruptions if item.operation not in operations
    )
    return replace(ledger, disruptions=left)
