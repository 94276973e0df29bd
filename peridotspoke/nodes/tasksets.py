"""The asyncio tasks of a node and of its supervisors."""

import asyncio

from peridotspoke.logs import log_event

__all__ = ["TaskSet", "keep_running"]

RESTART_DELAY = 0.3  # seconds from a failure to the next start


async def keep_running(name, start):
    """Run a coroutine that has no end, and start it again whenever it fails.

    One record or message that causes an unexpected error then does not end a task
    without which the process could not go on.

    Parameters
    ----------
    name : str
        Logged with each failure.
    start : callable
        Called without arguments for each start; returns the coroutine.
    """
    while True:
        try:
            await start()
        except Exception as error:
            log_event("task-failed", "ERROR", task=name, error=repr(error))
        else:
            log_event("task-ended", "ERROR", task=name)
        await asyncio.sleep(RESTART_DELAY)


class TaskSet:
    """Runs coroutines as tasks and logs the tasks that fail.

    `running_names` holds the names of the unfinished tasks of `spawn_once`.

    Parameters
    ----------
    owner : str
        The supervisor's unit, named in the log event of a failed task.
    """

    def __init__(self, owner):
        self.running_names = set()
        self._owner = owner
        self._tasks = set()

    def spawn(self, coroutine):
        """Start a coroutine as a task and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def spawn_once(self, name, coroutine):
        """Start a task whose name is in `running_names` until it finishes.

        The caller has to check that no task of this name is running.
        """
        self.running_names.add(name)
        task = self.spawn(coroutine)
        task.add_done_callback(lambda _: self.running_names.discard(name))

    def cancel(self):
        """Cancel all unfinished tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event("task-failed", "ERROR", owner=self._owner, error=error)
