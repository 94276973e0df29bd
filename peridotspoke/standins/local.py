"""A key-value service client in the same process, with fault injection."""

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.standins.memory import MemoryKeyValueService

__all__ = ["FaultyKeyValueService"]


class FaultyKeyValueService(MemoryKeyValueService):
    """A client of a `StoreStandIn` whose faults affect only this client.

    Parameters
    ----------
    store : StoreStandIn
        Store that several clients may share.
    clock : Clock
        Source of the current time.

    Attributes
    ----------
    down : bool
        Whether reads and swaps fail without effect.
    lose_answers : int
        Number of upcoming swaps that take effect and then raise `AnswerLostError`.
    pause : callable or None
        Coroutine function that is awaited with the key before each swap. A test
        uses it to run another client between a read and the swap.
    """

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.down = False
        self.lose_answers = 0
        self.pause = None

    async def read(self, key):
        """Return the `Record` of `key`, or None."""
        self._raise_if_down(key)
        return await super().read(key)

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        self._raise_if_down(prefix)
        return await super().read_prefix(prefix)

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key is at `expected_revision`."""
        if self.pause is not None:
            await self.pause(key)
        self._raise_if_down(key)
        result = await super().swap(key, value, expected_revision, lease_id)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AnswerLostError(
                "injected fault: swap took effect, but its answer was lost",
                step="swap",
                peer=key,
            )
        return result

    def _raise_if_down(self, key):
        if self.down:
            raise PlatformUnavailableError(
                "injected fault: key-value service is down", peer=key
            )
