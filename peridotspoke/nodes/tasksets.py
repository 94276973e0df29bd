"""The asyncio tasks of one supervisor, which are cancelled together."""

import asyncio

from peridotspoke.logs import log_event

__all__ = ["TaskSet"]


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
