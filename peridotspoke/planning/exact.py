"""Computes the minimum cost of an assignment exactly, as a reference for the plan."""

import itertools
from collections import Counter
from dataclasses import dataclass

__all__ = ["ExactPlan", "solve_assignment"]

# Costs of a missing instance, in the unit of the buffer and move costs.
SHORTAGE_COST = 1000.0  # missing now
EXPOSURE_COST = 100.0  # missing after the loss of a rack


@dataclass(frozen=True, slots=True)
class ExactPlan:
    """The solver's result, counted in moves and instances.

    `is_optimal` is False if the solver did not prove optimality, for example
    because it reached the time limit.
    """

    moves: int
    shortage: int
    exposure: int
    held_instances: int
    is_optimal: bool


def solve_assignment(pools, buffer, move, time_limit=60.0):
    """Solve the assignment as one integer program with HiGHS [1]_.

    Parameters
    ----------
    pools : sequence of PoolView
        All instances are assumed to be available.
    buffer : float
        Cost of an instance held in a pool, or in the spare to cover the loss of a
        rack.
    move : float
        Cost of a move, in the same unit.
    time_limit : float, optional
        Time limit of the solver, in seconds.

    Returns
    -------
    ExactPlan

    Notes
    -----
    The model has one integer variable for each rack, source and target, and
    constraints for the loss of each rack. Availability budgets are ignored, so
    that the optimum is a lower bound on the cost for any number of rounds.

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
        self._initial_counts = Counter(
            (pool.pool, item.rack) for pool in pools for item in pool.instances
        )
        self._racks = sorted({rack for _, rack in self._initial_counts})
        self._moves = {}
        self._add_flows()
        self._add_rack_losses()

    def _add_variable(self):
        return self.solver.addVariable(lb=0, type=self._integer)

    def _add_flows(self):
        counts = {
            (name, rack): self._initial_counts[name, rack]
            for name, rack in itertools.product(self._pools, self._racks)
        }
        for (source, rack), initial_count in self._initial_counts.items():
            moved_out = 0
            for target in self._pools:
                if target != source:
                    flow = self._add_variable()
                    self._moves[source, rack, target] = flow
                    counts[source, rack] = counts[source, rack] - flow
                    counts[target, rack] = counts[target, rack] + flow
                    moved_out = moved_out + flow
            self.solver.addConstr(moved_out <= initial_count)
        self._counts = counts
        self._sizes = {
            name: sum(counts[name, rack] for rack in self._racks)
            for name in self._pools
        }

    def _add_rack_losses(self):
        """Add the constraint that spares cover the loss of any one rack."""
        self._shortages = {name: self._add_variable() for name in self._pools}
        self._buffer = self._add_variable()
        self._exposure = self._add_variable()
        for name, pool in self._pools.items():
            self.solver.addConstr(
                self._sizes[name] + self._shortages[name] >= pool.need
            )
        spares = [name for name, pool in self._pools.items() if pool.spare]
        for rack in self._racks:
            total_deficit = 0
            for name, pool in self._pools.items():
                if not pool.spare:
                    deficit = self._add_variable()
                    remaining = self._sizes[name] - self._counts[name, rack]
                    self.solver.addConstr(deficit + remaining >= pool.need)
                    total_deficit = total_deficit + deficit
            spare_excess = sum(
                self._sizes[name] - self._counts[name, rack] - self._pools[name].need
                for name in spares
            )
            self.solver.addConstr(total_deficit - spare_excess <= self._exposure)
            spare_lost = sum(self._counts[name, rack] for name in spares)
            self.solver.addConstr(
                total_deficit + spare_lost - self._exposure <= self._buffer
            )

    def add_costs(self, buffer, move):
        held_instances = self._buffer + sum(
            self._sizes[name] for name, pool in self._pools.items() if not pool.spare
        )
        self._held_instances = held_instances
        self.cost = (
            buffer * held_instances
            + move * sum(self._moves.values())
            + SHORTAGE_COST * sum(self._shortages.values())
            + EXPOSURE_COST * self._exposure
        )

    def read_plan(self, is_optimal):
        def read(expression):
            return round(self.solver.val(expression))

        return ExactPlan(
            moves=sum(read(flow) for flow in self._moves.values()),
            shortage=sum(read(item) for item in self._shortages.values()),
            exposure=read(self._exposure),
            held_instances=read(self._held_instances),
            is_optimal=is_optimal,
        )
