"""Interface to the advice service, which decides which executors may run a step."""

from abc import ABC, abstractmethod

__all__ = ["AdviceCalls"]


class AdviceCalls(ABC):
    """Client of the advice service; raises the same errors as `ExecutorCalls`."""

    @abstractmethod
    async def advise(self, key, executor_ids, timeout):
        """Return the `TicketGrant` of a step for the executors that are asked about.

        Parameters
        ----------
        key : TaskKey
            Any task of the step.
        executor_ids : sequence of str
            Candidates; at most 100.
        timeout : float
            Time limit of the call, seconds.
        """
