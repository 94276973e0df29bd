"""Retry policy: retry budget, backoff and the time limit of an attempt."""

from dataclasses import dataclass

from peridotspoke.requests.messages import FailureKind

__all__ = ["Retry", "RetryBudget", "compute_attempt_timeout", "decide_retry"]

BASE_BACKOFF = 0.02  # seconds
MAX_BACKOFF = 1.0  # seconds
MAX_ATTEMPTS = 4
MAX_BUDGET = 10.0  # retries
MAX_FLOOR_FRACTION = 0.5  # of the time left, so that another attempt is possible


class RetryBudget:
    """Token bucket that limits the retries of a service.

    Each first attempt adds `share` tokens, and each retry takes one token.

    Parameters
    ----------
    share : float
        Number of retries allowed for each first attempt.

    Notes
    -----
    In any period, the number of retries is at most ``share`` times the number of
    first attempts, plus the `MAX_BUDGET` tokens saved before. This keeps retries
    from amplifying a wave of failures.
    """

    def __init__(self, share):
        self.share = share
        self._tokens = MAX_BUDGET

    def record_first_attempt(self):
        """Add the tokens of one first attempt."""
        self._tokens = min(MAX_BUDGET, self._tokens + self.share)

    def has_token(self):
        """Return whether a retry is allowed."""
        return self._tokens >= 1

    def take(self):
        """Take the token of one retry; return False if there is none."""
        if not self.has_token():
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to make another attempt after `delay` seconds."""

    delay: float


def decide_retry(request, failure, attempts, budget, now, chance):
    """Decide whether a failed attempt is followed by another one.

    A request that may have run is retried only if it is idempotent. A request that
    certainly didn't run may be retried in any case.

    Parameters
    ----------
    request : AdmittedRequest
    failure : AttemptFailure
    attempts : int
        Number of attempts made so far.
    budget : RetryBudget
        Loses a token if the request is retried.
    now : float
        Monotonic time in seconds.
    chance : float
        Random number in [0, 1) for the jitter.

    Returns
    -------
    Retry or None
        None if the request ends with `failure`.

    Notes
    -----
    Exponential backoff with full jitter: the delay is uniformly distributed between
    0 and a bound that doubles with each attempt, so that requests that failed
    together aren't retried together.
    """
    if failure.kind is FailureKind.EXPIRED or attempts >= MAX_ATTEMPTS:
        return None
    if failure.may_have_run and not request.idempotent:
        return None
    delay = chance * min(MAX_BACKOFF, BASE_BACKOFF * 2 ** (attempts - 1))
    if now + delay >= request.deadline:
        return None
    return Retry(delay) if budget.take() else None


def compute_attempt_timeout(request, times, floor, budget, now):
    """Return the time limit of one attempt in seconds.

    An attempt of an idempotent request that may be retried is limited, so that
    there is time for another attempt if the upstream doesn't answer. Any other
    attempt may use all the time left until the deadline.

    Parameters
    ----------
    request : AdmittedRequest
    times : RunTimes
        Run times of the service.
    floor : float
        Minimum limit of an attempt in seconds.
    budget : RetryBudget
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
    """
    remaining = request.deadline - now
    if not request.idempotent or not budget.has_token():
        return remaining
    return min(
        remaining,
        max(times.estimate_upper_limit(), min(floor, MAX_FLOOR_FRACTION * remaining)),
    )
