"""One client's faulty path to the key-value service in the same process."""

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.standins.memory import MemoryKeyValueService

__all__ = ["FaultyKeyValueService"]


class FaultyKeyValueService(MemoryKeyValueService):
    """A client of the stand-in's store, with faults for this client alone.

    Parameters
    ----------
    store : StoreStandIn
    clock : Clock

    Attributes
    ----------
    down : bool
        Whether reads and swaps fail without effect.
    lose_answers : int
        So many coming swaps take effect, then lose their answers.
    pause : callable or None
        Coroutine function that is awaited with the key before each swap, so that a
        test can let another client run in between.
    """

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.down = False
        self.lose_answers = 0
        self.pause = None

    async def read(self, key):
        """Return the `Record` of `key`, or None."""
        self._check(key)
        return await super().read(key)

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        self._check(prefix)
        return await super().read_prefix(prefix)

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`."""
        if self.pause is not None:
            await self.pause(key)
        self._check(key)
        result = await super().swap(key, value, expected_revision, lease_id)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AnswerLostError("the answer was lost", step="swap", peer=key)
        return result

    def _check(self, key):
        if self.down:
            raise PlatformUnavailableError("the service is down", peer=key)
