"""Refuses callers' requests, and tells them when to come back."""

from peridotspoke.nodes.jobanswers import RefusalCause, Refused
from peridotspoke.workloads.outage import compute_outage_delay, compute_patience

__all__ = ["Refusals"]

RETRY_JITTER = 1.5  # largest random factor applied to a delay for lack of room


class Refusals:
    """Makes and counts the refusals of one node.

    Parameters
    ----------
    node : NodeParts
    """

    def __init__(self, node):
        self._node = node

    def refuse(self, cause, reason, job=None):
        """Return a refusal because of the store, which grows with the outage's age.

        Parameters
        ----------
        cause : RefusalCause
        reason : str
            Told to the caller.
        job : Job, optional
            The refused job; its worth bounds the delay.

        Returns
        -------
        Refused
        """
        age = self._node.find_outage_age()
        draw = self._node.chance.random()
        if job is None or job.is_long_running or job.repeats:
            delay = compute_outage_delay(age, draw)
        else:
            delay = compute_outage_delay(age, draw, compute_patience(job))
        self._node.metrics.count("refusals", reason=cause)
        return Refused(reason, delay, cause=cause, outage=age)

    def refuse_away(self, job=None):
        """Return a refusal because the store is away."""
        return self.refuse(RefusalCause.STORE_AWAY, "the store is away", job)

    def refuse_for_room(self, wait):
        """Return a refusal because a pool has no room for `wait` seconds."""
        delay = wait * self._node.chance.uniform(1.0, RETRY_JITTER)
        self._node.metrics.count("refusals", reason=RefusalCause.NO_ROOM)
        return Refused(
            "no room in time", delay, overloaded=True, cause=RefusalCause.NO_ROOM
        )
