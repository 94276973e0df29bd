"""The side of the entry instance that borrows executor slots from their keepers.

This module does no I/O.
"""

from dataclasses import dataclass

from peridotspoke.hashing import rank_members
from peridotspoke.peers.messages import SlotsRequest, SlotWish

__all__ = ["SlotBorrower"]


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
