"""Rules for lending executor slots: the keeper's side and the borrower's side.

This module does no I/O.
"""

from dataclasses import dataclass

from peridotspoke.exceptions import PeerError
from peridotspoke.hashing import rank_members
from peridotspoke.peers.messages import (
    SlotLoan,
    SlotsAnswer,
    SlotsRequest,
    SlotWish,
)

__all__ = ["LendingRules", "SlotBorrower", "SlotKeeper", "divide_slots"]


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


@dataclass(slots=True)
class _ExecutorUse:
    zone: str
    lent: int = 0
    expires_at: float = float("-inf")
    in_use: int = 0
    wanted: int = 0
    peak: int = 0
    peak_at: float = float("-inf")


class SlotBorrower:
    """Tracks the slots that the keepers of all zones lend to one entry instance.

    For each zone only the answer to the latest request is accepted. Until it
    arrives, the borrower uses no more slots than it declared as kept in the request.

    Parameters
    ----------
    name : str
        Name of the entry instance.
    incarnation : int
    rules : LendingRules
    """

    def __init__(self, name, incarnation, rules):
        self.rules = rules
        self._name = name
        self._incarnation = incarnation
        self._uses = {}
        self._sequence = 0
        self._pending_requests = {}
        self._last_answers = {}
        self._contended = {}

    def get_share(self, executor, now):
        """Return the number of slots of `executor` that may be used at `now`."""
        use = self._uses.get(executor)
        return use.lent if use is not None and now < use.expires_at else 0

    def record_use(self, executor, zone, in_use, wanted, now):
        """Record the current use of an executor's slots and the demand for them.

        Parameters
        ----------
        executor, zone : str
        in_use : int
            Number of slots in use.
        wanted : int
            Number of slots that would be in use if enough were lent.
        now : float
            Monotonic time in seconds.
        """
        use = self._uses.setdefault(executor, _ExecutorUse(zone))
        use.in_use = in_use
        use.wanted = max(in_use, wanted)
        if in_use >= use.peak or now - use.peak_at > self.rules.idle_time:
            use.peak = in_use
            use.peak_at = now

    def get_epoch(self, zone):
        """Return the epoch of the last answer of a zone's keeper, or 0 if none came."""
        return self._last_answers.get(zone, (0, 0.0))[0]

    def list_zones(self):
        """Return the zones in which slots are in use, wanted or lent."""
        return sorted({use.zone for use in self._uses.values() if self._is_active(use)})

    def is_contended(self, zone):
        """Return whether the zone's borrowers together want more slots than exist."""
        return self._contended.get(zone, False)

    def is_short(self, zone, now):
        """Return whether some executor of the zone has fewer slots lent than wanted."""
        return any(
            use.wanted > self.get_share(executor, now)
            for executor, use in self._uses.items()
            if use.zone == zone
        )

    def make_request(self, zone, now, promises=False):
        """Return the `SlotsRequest` to send to the keeper of `zone` now.

        From now on no more slots are used than the request declares as kept.

        Parameters
        ----------
        zone : str
        now : float
            Monotonic time in seconds, read before the request is sent.
        promises : bool, optional
            Whether the request promises not to replace the keeper.

        Returns
        -------
        SlotsRequest
        """
        self._sequence += 1
        self._pending_requests[zone] = (self._sequence, now)
        wishes = []
        extra = self._divide_queued_demand()
        for executor, use in sorted(self._uses.items()):
            if use.zone != zone:
                continue
            wanted = self._choose_wanted(use, use.in_use + extra[executor], now)
            share = self.get_share(executor, now)
            use.lent = min(share, max(use.in_use, wanted))
            if use.in_use or wanted:
                kept = max(use.in_use, use.lent)
                wishes.append(SlotWish(executor, use.in_use, wanted, kept))
        epoch, keeper_time = self._last_answers.get(zone, (0, 0.0))
        return SlotsRequest(
            borrower=self._name,
            incarnation=self._incarnation,
            zone=zone,
            wishes=tuple(wishes),
            epoch=epoch,
            keeper_time=keeper_time,
            promises=promises,
            sequence=self._sequence,
        )

    def take_answer(self, request, answer, now):
        """Apply a keeper's answer to `request`.

        Parameters
        ----------
        request : SlotsRequest
        answer : SlotsAnswer
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the answer is not to the latest unanswered request; nothing
            changes then.
        """
        sequence, asked_at = self._pending_requests.get(request.zone, (0, 0.0))
        if request.sequence != sequence:
            return False
        del self._pending_requests[request.zone]
        self._last_answers[request.zone] = (answer.epoch, answer.keeper_time)
        self._contended[request.zone] = any(loan.recalled for loan in answer.loans)
        wished = {wish.executor for wish in request.wishes}
        for loan in answer.loans:
            if loan.executor in wished:
                use = self._uses[loan.executor]
                use.lent = loan.lent
                use.expires_at = asked_at + answer.seconds
        return True

    def _divide_queued_demand(self):
        """Return how many slots to request beyond those in use, by executor.

        The same queued requests are counted as demand for every executor that could
        serve them. Requesting slots for all of them on each executor would reserve
        slots that no request is left to use.
        """
        unsatisfied = [
            name for name, use in self._uses.items() if use.wanted > use.in_use
        ]
        extra = dict.fromkeys(self._uses, 0)
        for rank, name in enumerate(rank_members(self._name, unsatisfied)):
            queued = self._uses[name].wanted - self._uses[name].in_use
            share, remainder = divmod(queued, len(unsatisfied))
            extra[name] = share + (rank < remainder)
        return extra

    def _choose_wanted(self, use, wanted, now):
        """Return how many slots to request; idle ones are kept unless contended."""
        recent = now - use.peak_at <= self.rules.idle_time
        if not recent or self._contended.get(use.zone, False):
            return wanted
        return max(wanted, use.peak)

    def _is_active(self, use):
        return use.in_use > 0 or use.wanted > 0 or use.lent > 0
