"""The least weighed cost of an assignment by an exact solver, as a yardstick."""

import itertools
from collections import Counter
from dataclasses import dataclass

__all__ = ["ExactPlan", "solve_assignment"]

SHORTAGE_COST = 1000.0
EXPOSURE_COST = 100.0


@dataclass(frozen=True, slots=True)
class ExactPlan:
    """The solver's optimum; `is_optimal` is False where the time ran out."""

    moves: int
    shortage: int
    exposure: int
    held: int
    is_optimal: bool


def solve_assignment(pools, buffer, move, time_limit=60.0):
    """Return the `ExactPlan` of one joint model in HiGHS [1]_.

    Parameters
    ----------
    pools : sequence of PoolView
        All instances are taken as available.
    buffer, move : float
        Cost of an instance held in a pool or as the spare's buffer, and of a move.
    time_limit : float, optional
        Seconds.

    Notes
    -----
    One integer for each rack, source and target; the loss of each rack is a
    constraint. Budgets are left out, so that the optimum is a bound for any number
    of rounds.

    References
    ----------
    .. [1] Q. Huangfu, J. A. J. Hall, "Parallelizing the dual revised simplex
       method", Mathematical Programming Computation 10, 2018.
    """
    import highspy

    model = _Model(highspy, pools)
    model.add_costs(buffer, move)
    model.solver.setOptionValue("time_limit", time_limit)
    model.solver.setOptionValue("threads", 1)
    model.solver.setOptionValue("output_flag", False)
    model.solver.minimize(model.cost)
    status = model.solver.getModelStatus()
    return model.read_plan(status == highspy.HighsModelStatus.kOptimal)


class _Model:
    def __init__(self, highspy, pools):
        self.solver = highspy.Highs()
        self._integer = highspy.HighsVarType.kInteger
        self._pools = {pool.pool: pool for pool in pools}
        self._present = Counter(
            (pool.pool, item.rack) for pool in pools for item in pool.instances
        )
        self._racks = sorted({rack for _, rack in self._present})
        self._moves = {}
        self._add_flows()
        self._add_losses()

    def _add_variable(self):
        return self.solver.addVariable(lb=0, type=self._integer)

    def _add_flows(self):
        counts = {
            (name, rack): self._present[name, rack]
            for name, rack in itertools.product(self._pools, self._racks)
        }
        for (source, rack), present in self._present.items():
            given = 0
            for target in self._pools:
                if target != source:
                    flow = self._add_variable()
                    self._moves[source, rack, target] = flow
                    counts[source, rack] = counts[source, rack] - flow
                    counts[target, rack] = counts[target, rack] + flow
                    given = given + flow
            self.solver.addConstr(given <= present)
        self._counts = counts
        self._sizes = {
            name: sum(counts[name, rack] for rack in self._racks)
            for name in self._pools
        }

    def _add_losses(self):
        """Let the spare's free instances cover what any rack's loss leaves lacking."""
        self._short = {name: self._add_variable() for name in self._pools}
        self._buffer = self._add_variable()
        self._exposure = self._add_variable()
        for name, pool in self._pools.items():
            self.solver.addConstr(self._sizes[name] + self._short[name] >= pool.need)
        spares = [name for name, pool in self._pools.items() if pool.spare]
        for rack in self._racks:
            lacking = 0
            for name, pool in self._pools.items():
                if not pool.spare:
                    lack = self._add_variable()
                    left = self._sizes[name] - self._counts[name, rack]
                    self.solver.addConstr(lack + left >= pool.need)
                    lacking = lacking + lack
            free = sum(
                self._sizes[name] - self._counts[name, rack] - self._pools[name].need
                for name in spares
            )
            self.solver.addConstr(lacking - free <= self._exposure)
            lost = sum(self._counts[name, rack] for name in spares)
            self.solver.addConstr(lacking + lost - self._exposure <= self._buffer)

    def add_costs(self, buffer, move):
        held = self._buffer + sum(
            self._sizes[name] for name, pool in self._pools.items() if not pool.spare
        )
        self._held = held
        self.cost = (
            buffer * held
            + move * sum(self._moves.values())
            + SHORTAGE_COST * sum(self._short.values())
            + EXPOSURE_COST * self._exposure
        )

    def read_plan(self, is_optimal):
        def read(expression):
            return round(self.solver.val(expression))

        return ExactPlan(
            moves=sum(read(flow) for flow in self._moves.values()),
            shortage=sum(read(item) for item in self._short.values()),
            exposure=read(self._exposure),
            held=read(self._held),
            is_optimal=is_optimal,
        )
