"""The tasks of one supervisor, ended together."""

import asyncio

from peridotspoke.logs import log_event

__all__ = ["TaskSet"]


class TaskSet:
    """Runs coroutines as tasks; one that fails is logged.

    `under_way` holds the names of the tasks that run at most once at a time.
    """

    def __init__(self, owner):
        self.under_way = set()
        self._owner = owner
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine as a task and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def spawn_once(self, name, coroutine):
        """Run a coroutine under a name that is free again at its end."""
        self.under_way.add(name)
        task = self.spawn(coroutine)
        task.add_done_callback(lambda _: self.under_way.discard(name))

    def cancel(self):
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event("task-failed", "ERROR", owner=self._owner, error=error)
