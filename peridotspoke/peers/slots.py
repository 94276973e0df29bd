"""Rules for lending executor slots, and the side of the keeper that lends them.

This module does no I/O.
"""

from dataclasses import dataclass

from peridotspoke.exceptions import PeerError
from peridotspoke.hashing import rank_members
from peridotspoke.peers.messages import SlotLoan, SlotsAnswer

__all__ = ["LendingRules", "SlotKeeper", "divide_slots"]


@dataclass(frozen=True, slots=True)
class LendingRules:
    """Durations, in seconds, that govern slot loans.

    Parameters
    ----------
    loan_time : float, optional
        Validity of a loan. The borrower counts it from before it sent its request.
    longest_request : float, optional
        Longest time for which a request can occupy its slot after it was sent.
    idle_time : float, optional
        How long a borrower keeps slots that it has stopped using.
    """

    loan_time: float = 2.0
    longest_request: float = 10.0
    idle_time: float = 1.0

    @property
    def release_delay(self):
        """Seconds after which no slot of a loan can still be in use."""
        return self.loan_time + self.longest_request


def divide_slots(executor, slots, wants):
    """Divide an executor's slots among borrowers as evenly as their demand allows.

    Slots left over by the even division are assigned by rendezvous rank, so that
    different executors favor different borrowers.

    Parameters
    ----------
    executor : str
        Name of the executor, which determines the rank.
    slots : int
        Number of slots to divide.
    wants : dict of str to int
        Number of slots wanted by each borrower.

    Returns
    -------
    dict of str to int
        Number of slots of each borrower.

    Examples
    --------
    >>> sorted(divide_slots("i1", 8, {"a": 8, "b": 1, "c": 8}).items())
    [('a', 4), ('b', 1), ('c', 3)]
    """
    shares = dict.fromkeys(wants, 0)
    ranked = rank_members(executor, wants)
    remaining = slots
    while remaining > 0:
        unsatisfied = [name for name in ranked if shares[name] < wants[name]]
        if not unsatisfied:
            break
        for name in unsatisfied[:remaining]:
            shares[name] += 1
        remaining -= min(remaining, len(unsatisfied))
    return shares


@dataclass(slots=True)
class _OutstandingLoan:
    limit: int
    expires_at: float
    wanted: int


class SlotKeeper:
    """Lends the slots of the executors of one availability zone.

    For each borrower, the keeper counts the largest number of slots that the
    borrower may be using: the number it kept in its last request or the number it
    was lent in the answer, whichever is larger. This number counts until the
    borrower's next request, or until none of these slots can be in use any more.

    Parameters
    ----------
    name : str
        Identity of this process.
    zone : str
        Availability zone whose slots are lent.
    rules : LendingRules
    """

    def __init__(self, name, zone, rules):
        self.rules = rules
        self.epoch = 0
        self._name = name
        self._zone = zone
        self._started_at = float("inf")
        self._outstanding = {}
        self._sequences = {}

    def start_lending(self, epoch, now, had_predecessor):
        """Start to lend at `epoch`.

        Parameters
        ----------
        epoch : int
        now : float
            Monotonic time in seconds.
        had_predecessor : bool
            Whether another keeper may have lent slots before. Nothing is lent then
            until none of its loans can be in use.
        """
        self.epoch = epoch
        self._outstanding.clear()
        self._started_at = now if had_predecessor else float("-inf")

    def update_epoch(self, epoch):
        """Keep the current loans under a later epoch of the same right to lend."""
        self.epoch = epoch

    def lend(self, request, capacity, now):
        """Return the `SlotsAnswer` to a `SlotsRequest`.

        The caller must have checked that this process holds the right to lend.

        Parameters
        ----------
        request : SlotsRequest
        capacity : dict of str to int
            Number of slots of each executor of the zone that accepts new work.
        now : float
            Monotonic time in seconds, read before the right was checked.

        Returns
        -------
        SlotsAnswer

        Raises
        ------
        PeerError
            If the request is for another zone, is not newer than the last one
            answered, or if slots lent by a previous keeper may still be in use.
        """
        if request.zone != self._zone:
            raise self._make_error("zone", self._zone, request.zone)
        # Recomputed for each request: a new configuration version can raise
        # longest_request during the wait.
        wait = self._started_at + self.rules.release_delay - now
        if wait > 0:
            raise PeerError(
                f"former loans lapse in {wait:.1f} s",
                step="lend slots",
                peer=self._name,
            )
        borrower = f"{request.borrower}@{request.incarnation}"
        newest = self._sequences.get(borrower, 0)
        if request.sequence <= newest:
            raise self._make_error("sequence", f"above {newest}", request.sequence)
        self._sequences[borrower] = request.sequence
        self._record_wishes(borrower, request, now)
        loans = tuple(
            self._lend_one(borrower, wish, capacity.get(wish.executor, 0), now)
            for wish in request.wishes
        )
        return SlotsAnswer(self._name, self.epoch, now, self.rules.loan_time, loans)

    def _make_error(self, field, expected, found):
        return PeerError(
            f"{field}: expected {expected}, found {found}",
            step="lend slots",
            peer=self._name,
        )

    def _record_wishes(self, borrower, request, now):
        named = {wish.executor for wish in request.wishes}
        for executor, outstanding in list(self._outstanding.items()):
            if executor not in named:
                outstanding.pop(borrower, None)
            for name in [
                name for name, loan in outstanding.items() if loan.expires_at <= now
            ]:
                del outstanding[name]
            if not outstanding:
                del self._outstanding[executor]
        expires_at = now + self.rules.release_delay
        for wish in request.wishes:
            outstanding = self._outstanding.setdefault(wish.executor, {})
            outstanding[borrower] = _OutstandingLoan(wish.kept, expires_at, wish.wanted)

    def _lend_one(self, borrower, wish, slots, now):
        outstanding = self._outstanding[wish.executor]
        others = sum(
            loan.limit for name, loan in outstanding.items() if name != borrower
        )
        wants = {name: loan.wanted for name, loan in outstanding.items()}
        target = divide_slots(wish.executor, slots, wants)[borrower]
        lent = max(0, min(target, slots - others))
        outstanding[borrower].limit = max(wish.kept, lent)
        contended = sum(wants.values()) > slots
        return SlotLoan(wish.executor, lent, recalled=contended)
