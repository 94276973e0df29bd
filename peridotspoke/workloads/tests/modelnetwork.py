"""The calls between owners and executors in the histories of `ownershipmodel`."""

from peridotspoke.workloads.latestarts import LASTING_LATE_START_S
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH
from peridotspoke.workloads.tests.modelcalls import CALL_S, LATE_CALL_S

__all__ = ["ModelNetwork"]


class ModelNetwork:
    """The part of a `World` that carries calls out, in any order and late.

    A later life of an executor may carry out what was meant for an earlier one.
    """

    def send(self, order):
        """Add an order to those under way."""
        state = order.owner.ledger.executors[order.executor]
        order.fence = order.owner.choose_fence(state)
        order.incarnation = state.incarnation
        order.sent_at = self.now
        order.sent_to = self.find_executor(order.executor).incarnation
        self.orders.append(order)

    def find_executor(self, name):
        """Return the executor of this name."""
        return next(item for item in self.executors if item.name == name)

    def deliver_order(self, index):
        """Let an order be carried out, and answered unless it has timed out.

        One that a later life carries out after the limit of the call has timed out.
        """
        order = self.orders.pop(index)
        executor = self.find_executor(order.executor)
        if not self.may_arrive(order, executor):
            return
        is_prompt = self.is_prompt(order, executor)
        if order.run is not None:
            lease_end = self._limit_start_lease(order, executor)
            refusal = executor.start(order.key, order.number, order.fence, lease_end)
            if refusal is None and order.incarnation != executor.incarnation:
                executor.late.add(order.key)
        else:
            refusal = executor.stop(order.key, order.number, order.fence)
        if order.timed_out or not is_prompt:
            return
        if order.run is not None:
            known = order.incarnation == executor.incarnation
            order.owner.ledger.apply_start_answer(
                order.run, refusal, self.now, by_known_incarnation=known
            )
        elif refusal is None and self._is_life_known(order):
            order.owner.ledger.apply_stop_answer(executor.name, order.stop, self.now)

    def _is_life_known(self, order):
        """Return whether its owner knows of no later life than an order was sent to."""
        state = order.owner.ledger.executors.get(order.executor)
        return state is not None and state.incarnation == order.incarnation

    def _limit_start_lease(self, order, executor):
        """Return the end of the lease of a start that is carried out now, seconds.

        The first limit that `may_arrive` tells holds here.
        """
        lease_end = executor.limit_lease(order.lease_end, order.incarnation)
        if order.incarnation == executor.incarnation or self._is_sent_anew(order):
            return lease_end
        return min(lease_end, order.sent_at + self._find_late_limit(order))

    def _is_sent_anew(self, order):
        """Return whether a former owner may send an order although it may not."""
        return order.owner is not self.owner and not self.checks_permission

    def is_prompt(self, order, executor):
        """Return whether an order reaches the present life before its call is over.

        An order to an earlier life does so if its connection was still being opened.
        A former owner opens none any more, as it checks just before it sends whether
        it may still order.
        """
        if order.incarnation == order.sent_to == executor.incarnation:
            return True
        if order.owner is not self.owner:
            return self._is_sent_anew(order)
        return self.now <= order.sent_at + CALL_S

    def may_arrive(self, order, executor):
        """Return whether an order reaches the executor's present incarnation.

        An order that was sent to an earlier one may be carried out by any later one
        until `LATE_CALL_S` after it was sent, after newer calls, whatever an earlier
        life would have refused, and also once its owner is a former one, which sends
        nothing new. What lies beyond these limits can't be covered by the product, so
        that the model leaves it out:

        - What a start begins on a later life ends `LATE_CALL_S` after it was sent, or,
          for a task that lasts, if an earlier life refused it, once the task is no
          longer bound to the executor.
        - Of several starts of a task that are meant for earlier lives, a later one
          carries out one at a time.
        - None is carried out by a later life once a run of its task was completed on
          the same executor, and that end was acknowledged.
        """
        is_late = order.incarnation != executor.incarnation
        if order.run is not None and is_late and order.key in executor.late:
            return False
        if self.is_prompt(order, executor):
            return True
        if order.run is not None and self.acknowledged.get(order.key) == executor.name:
            return False
        return self.now <= order.sent_at + self._find_late_limit(order)

    def _find_late_limit(self, order):
        """Return until when a later life may run what a start began, from its sending.

        In seconds.
        """
        is_lasting = self.job.steps[order.key.step].lasting
        is_bound_only = is_lasting and order.was_refused
        return LASTING_LATE_START_S if is_bound_only else LATE_CALL_S

    def give_up_order(self, index):
        """Let the answer to an order time out; the order may still be carried out."""
        order = self.orders[index]
        if not order.timed_out and order.run is not None:
            order.owner.ledger.handle_start_timeout(order.run, self.now)
        order.timed_out = True

    def deliver_report(self, index):
        """Let an owner receive a report."""
        owner, name, report, asked_at, fence = self.reports.pop(index)
        owner.ledger.apply_report(
            name, report, asked_at, self.now, WALL_EPOCH + self.now, fence
        )

    def deliver_promptly(self, order):
        """Let an order be carried out, or leave it under way if its call is over."""
        if self.is_prompt(order, self.find_executor(order.executor)):
            self.deliver_order(self.orders.index(order))
        else:
            order.timed_out = True

    def lose_poll(self, index):
        """Let an owner, or a former one that lives on, send a poll without an answer.

        One of four polls extends no lease.
        """
        owners = [self.owner, *self.retired]
        rest, place = divmod(index, len(self.executors))
        rest, number = divmod(rest, len(owners))
        owners[number].lose_poll(self.executors[place], extend=bool(rest % 4))

    def deliver_poll(self, index):
        """Let a late poll be carried out by the present life, without an answer.

        The fence that it carries decides, whatever has become of its owner.
        """
        poll = self.polls.pop(index)
        if self.now <= poll.sent_at + LATE_CALL_S:
            self.find_executor(poll.executor).answer_poll(poll)
