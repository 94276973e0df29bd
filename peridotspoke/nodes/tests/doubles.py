"""Doubles of executors and of the ownership of a pool, for tests."""

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.workloads.executors import ReportedRun, RunReport
from peridotspoke.workloads.jobs import TaskKey
from peridotspoke.workloads.tests.ledgers import JOB

CLOCK_MS = 1000


class SilentCalls:
    """Stands for the calls to an executor that never answers."""

    async def renew_leases(self, order):
        raise AnswerLostError("no answer", step="renew leases")

    async def close(self):
        return None


class RunningCalls:
    """Stands for the calls to an executor that runs the first task of `JOB`.

    `orders` holds the calls so far; `error` is raised by each call if it is set.
    """

    address = "10.0.0.1:80"

    def __init__(self):
        self.orders = []
        self.error = None

    async def renew_leases(self, order):
        self.orders.append(order)
        if self.error is not None:
            raise self.error
        running = (ReportedRun(TaskKey(JOB, 0, 0, 0), 1, "", 50),)
        return RunReport(CLOCK_MS, 1, running, ())

    async def close(self):
        return None


class HeldOwnership:
    """Stands for an `Ownership` that holds everything."""

    def may_order(self):
        return True

    def may_extend_leases(self):
        return True

    def is_held(self, holding):
        return True

    def give_up(self, holding, reason):
        return None
