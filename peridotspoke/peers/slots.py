"""Decides how the slots of executors are lent by a keeper and used by a borrower."""

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
    """Times in seconds.

    Parameters
    ----------
    loan_time : float, optional
        How long a loan lasts, counted by the borrower from before it asked.
    longest_request : float, optional
        How long a request may use its slot after it was sent.
    idle_time : float, optional
        How long a borrower keeps slots that it used and doesn't use now.
    """

    loan_time: float = 2.0
    longest_request: float = 10.0
    idle_time: float = 1.0

    @property
    def quiet_time(self):
        """The time after which nothing of a former keeper's loans is in use."""
        return self.loan_time + self.longest_request


def divide_slots(executor, slots, wants):
    """Return the slots of each borrower, as even as their wants allow.

    Slots that can't be divided evenly go by rendezvous rank, which differs from
    executor to executor.

    Parameters
    ----------
    executor : str
    slots : int
    wants : dict of str to int
        Slots wanted by each borrower.

    Examples
    --------
    >>> sorted(divide_slots("i1", 8, {"a": 8, "b": 1, "c": 8}).items())
    [('a', 4), ('b', 1), ('c', 3)]
    """
    given = dict.fromkeys(wants, 0)
    ranked = rank_members(executor, wants)
    left = slots
    while left > 0:
        hungry = [name for name in ranked if given[name] < wants[name]]
        if not hungry:
            break
        for name in hungry[:left]:
            given[name] += 1
        left -= min(left, len(hungry))
    return given


@dataclass(slots=True)
class _Debt:
    cap: int
    until: float
    wanted: int


class SlotKeeper:
    """Lends the slots of the executors of one availability zone.

    For each borrower it counts the most that the borrower may use: what it kept
    when it last asked or what it was lent then, whichever is more. That counts until
    the borrower's next request, or until nothing of it can be in use any more.

    Parameters
    ----------
    name, zone : str
    rules : LendingRules
    """

    def __init__(self, name, zone, rules):
        self.rules = rules
        self.epoch = 0
        self._name = name
        self._zone = zone
        self._began_at = float("inf")
        self._debts = {}
        self._sequences = {}

    def begin(self, epoch, now, had_predecessor):
        """Take the right up at `epoch`; after another keeper, wait out its loans."""
        self.epoch = epoch
        self._debts.clear()
        self._began_at = now if had_predecessor else float("-inf")

    def move_epoch(self, epoch):
        """Go on with the same loans under a later epoch of the same right."""
        self.epoch = epoch

    def lend(self, request, capacity, now):
        """Return the `SlotsAnswer` to a `SlotsRequest`.

        The caller has made sure that this process holds the right.

        Parameters
        ----------
        request : SlotsRequest
        capacity : dict of str to int
            Slots of each executor of the zone that may get new work.
        now : float
            Monotonic time in seconds, from before the right was checked.

        Raises
        ------
        PeerError
            If the zone is another one, the request is older than one that was
            answered, or a former keeper's loans have not lapsed yet.
        """
        if request.zone != self._zone:
            raise self._refuse("zone", self._zone, request.zone)
        # The longest request may grow by a new version while this is waited out.
        wait = self._began_at + self.rules.quiet_time - now
        if wait > 0:
            raise PeerError(
                f"former loans lapse in {wait:.1f} s",
                step="lend slots",
                peer=self._name,
            )
        borrower = f"{request.borrower}@{request.incarnation}"
        newest = self._sequences.get(borrower, 0)
        if request.sequence <= newest:
            raise self._refuse("sequence", f"above {newest}", request.sequence)
        self._sequences[borrower] = request.sequence
        self._take_reports(borrower, request, now)
        loans = tuple(
            self._lend_one(borrower, wish, capacity.get(wish.executor, 0), now)
            for wish in request.wishes
        )
        return SlotsAnswer(self._name, self.epoch, now, self.rules.loan_time, loans)

    def _refuse(self, field, expected, found):
        return PeerError(
            f"{field}: expected {expected}, found {found}",
            step="lend slots",
            peer=self._name,
        )

    def _take_reports(self, borrower, request, now):
        named = {wish.executor for wish in request.wishes}
        for executor, debts in list(self._debts.items()):
            if executor not in named:
                debts.pop(borrower, None)
            for name in [name for name, debt in debts.items() if debt.until <= now]:
                del debts[name]
            if not debts:
                del self._debts[executor]
        until = now + self.rules.quiet_time
        for wish in request.wishes:
            debts = self._debts.setdefault(wish.executor, {})
            debts[borrower] = _Debt(wish.kept, until, wish.wanted)

    def _lend_one(self, borrower, wish, slots, now):
        debts = self._debts[wish.executor]
        others = sum(debt.cap for name, debt in debts.items() if name != borrower)
        wants = {name: debt.wanted for name, debt in debts.items()}
        target = divide_slots(wish.executor, slots, wants)[borrower]
        lent = max(0, min(target, slots - others))
        debts[borrower].cap = max(wish.kept, lent)
        contended = sum(wants.values()) > slots
        return SlotLoan(wish.executor, lent, recalled=contended)


@dataclass(slots=True)
class _Use:
    zone: str
    lent: int = 0
    lapses_at: float = float("-inf")
    in_use: int = 0
    wanted: int = 0
    peak: int = 0
    peak_at: float = float("-inf")


class SlotBorrower:
    """Uses what the keepers of all zones lend to one entry.

    Of several requests to the keeper of a zone only the answer to the latest counts;
    while it is awaited no more is used than the request kept.

    Parameters
    ----------
    name : str
    incarnation : int
    rules : LendingRules
    """

    def __init__(self, name, incarnation, rules):
        self.rules = rules
        self._name = name
        self._incarnation = incarnation
        self._uses = {}
        self._sequence = 0
        self._asked = {}
        self._keepers = {}
        self._contended = {}

    def get_share(self, executor, now):
        """Return the slots of `executor` that may be used at `now`."""
        use = self._uses.get(executor)
        return use.lent if use is not None and now < use.lapses_at else 0

    def note_use(self, executor, zone, in_use, wanted, now):
        """Note the slots in use and those that would be used if they were lent."""
        use = self._uses.setdefault(executor, _Use(zone))
        use.in_use = in_use
        use.wanted = max(in_use, wanted)
        if in_use >= use.peak or now - use.peak_at > self.rules.idle_time:
            use.peak = in_use
            use.peak_at = now

    def get_epoch(self, zone):
        """Return the epoch of the last answer from a zone's keeper, or 0."""
        return self._keepers.get(zone, (0, 0.0))[0]

    def list_zones(self):
        """Return the zones with executors that are used or wanted."""
        return sorted({use.zone for use in self._uses.values() if self._is_live(use)})

    def is_contended(self, zone):
        """Return whether others want more slots of the zone than there are."""
        return self._contended.get(zone, False)

    def is_short(self, zone, now):
        """Return whether more slots of a zone's executors are wanted than lent."""
        return any(
            use.wanted > self.get_share(executor, now)
            for executor, use in self._uses.items()
            if use.zone == zone
        )

    def make_request(self, zone, now, promises=False):
        """Return the `SlotsRequest` to the keeper of `zone` to be sent now."""
        self._sequence += 1
        self._asked[zone] = (self._sequence, now)
        wishes = []
        extra = self._divide_queue()
        for executor, use in sorted(self._uses.items()):
            if use.zone != zone:
                continue
            wanted = self._choose_wanted(use, use.in_use + extra[executor], now)
            share = self.get_share(executor, now)
            use.lent = min(share, max(use.in_use, wanted))
            if use.in_use or wanted:
                kept = max(use.in_use, use.lent)
                wishes.append(SlotWish(executor, use.in_use, wanted, kept))
        epoch, keeper_time = self._keepers.get(zone, (0, 0.0))
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
        """Take a keeper's answer to `request`; return whether it still counts."""
        sequence, asked_at = self._asked.get(request.zone, (0, 0.0))
        if request.sequence != sequence:
            return False
        del self._asked[request.zone]
        self._keepers[request.zone] = (answer.epoch, answer.keeper_time)
        self._contended[request.zone] = any(loan.recalled for loan in answer.loans)
        wished = {wish.executor for wish in request.wishes}
        for loan in answer.loans:
            if loan.executor in wished:
                use = self._uses[loan.executor]
                use.lent = loan.lent
                use.lapses_at = asked_at + answer.seconds
        return True

    def _divide_queue(self):
        """Return the slots to ask for beyond those in use, by executor.

        The same queue is told for each executor that could take from it; asking
        each for all of it would hold slots that nothing is left to use.
        """
        hungry = [name for name, use in self._uses.items() if use.wanted > use.in_use]
        extra = dict.fromkeys(self._uses, 0)
        for place, name in enumerate(rank_members(self._name, hungry)):
            queued = self._uses[name].wanted - self._uses[name].in_use
            share, left = divmod(queued, len(hungry))
            extra[name] = share + (place < left)
        return extra

    def _choose_wanted(self, use, wanted, now):
        """Return the slots to ask for: idle ones are kept while nobody lacks them."""
        kept = now - use.peak_at <= self.rules.idle_time
        if not kept or self._contended.get(use.zone, False):
            return wanted
        return max(wanted, use.peak)

    def _is_live(self, use):
        return use.in_use > 0 or use.wanted > 0 or use.lent > 0
