"""Decides whether and when a failed attempt is followed by another."""

from dataclasses import dataclass

from peridotspoke.requests.messages import FailureKind

__all__ = ["Retry", "RetryBudget", "decide_retry", "limit_attempt"]

FIRST_BACKOFF = 0.02  # seconds
LONGEST_BACKOFF = 1.0  # seconds
MOST_ATTEMPTS = 4
BUDGET_CAP = 10.0  # retries
SHARE_OF_TIME_LEFT = 0.5


class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.

    Notes
    -----
    The retries of any span of time are at most ``share`` of its first tries and
    the `BUDGET_CAP` saved before, so a wave of failures is not amplified.
    """

    def __init__(self, share):
        self.share = share
        self._tokens = BUDGET_CAP

    def note_first_try(self):
        """Add one first try's share."""
        self._tokens = min(BUDGET_CAP, self._tokens + self.share)

    def has_token(self):
        """Return whether a retry is allowed now."""
        return self._tokens >= 1

    def take(self):
        """Use one retry; return False where none is left."""
        if not self.has_token():
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Retry:
    """Another attempt is to be made after `delay` seconds."""

    delay: float


def decide_retry(request, failure, attempts, budget, now, chance):
    """Return a `Retry`, or None where the request ends with `failure`.

    A request that may have run is tried again only if it is idempotent; one that
    certainly didn't run is tried again whatever it is.

    Parameters
    ----------
    request : AdmittedRequest
    failure : AttemptFailure
    attempts : int
        Attempts made so far.
    budget : RetryBudget
        A token is taken from it where the answer is a `Retry`.
    now : float
        Monotonic seconds.
    chance : float
        A random number from 0 to 1, for the jitter.

    Notes
    -----
    Exponential backoff with full jitter: the delay is even between 0 and the
    doubled bound, so that callers that failed together don't return together.
    """
    if failure.kind is FailureKind.EXPIRED or attempts >= MOST_ATTEMPTS:
        return None
    if failure.may_have_run and not request.idempotent:
        return None
    delay = chance * min(LONGEST_BACKOFF, FIRST_BACKOFF * 2 ** (attempts - 1))
    if now + delay >= request.deadline:
        return None
    return Retry(delay) if budget.take() else None


def limit_attempt(request, times, floor, budget, now):
    """Return the seconds that one attempt may take.

    An idempotent request that may be retried gives a silent upstream up in time
    for another attempt. Any other attempt may use all the time left.

    Parameters
    ----------
    request : AdmittedRequest
    times : RunTimes
    floor : float
        Shortest limit of an attempt, seconds.
    budget : RetryBudget
    now : float
        Monotonic seconds.
    """
    left = request.deadline - now
    if not request.idempotent or not budget.has_token():
        return left
    return min(left, max(times.estimate_all(), min(floor, SHARE_OF_TIME_LEFT * left)))
