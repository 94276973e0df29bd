"""The interface of the service that says which executors may run a step."""

from abc import ABC, abstractmethod

__all__ = ["AdviceCalls"]


class AdviceCalls(ABC):
    """Calls to the advice service; errors are those of `ExecutorCalls`."""

    @abstractmethod
    async def advise(self, key, executor_ids, timeout):
        """Return the `TicketGrant` of a step among at most 100 executors.

        Parameters
        ----------
        key : TaskKey
            Any task of the step.
        executor_ids : sequence of str
        timeout : float
            Seconds.
        """
