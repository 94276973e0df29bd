"""What is known of a run and its executor as the run is given up, for the log."""

__all__ = ["compute_age", "describe_evidence"]


def describe_evidence(state, run, now):
    """Return the log's fields about what is known of a run and its executor.

    They tell a run that has ended from one that may go on. Of the run: when it was
    ordered, or this owner took it over, for which incarnation, what confirmed it,
    when its stop was answered, and since when reports don't list it. Of the
    executor: the incarnation that the owner knows and for how long, when a call
    last got no answer, up to which number its ends are handled and may be
    forgotten, whether it is listed and answers, the age of its report before, and
    what is left of the lease on its confirmed runs. Ages are in seconds.

    Parameters
    ----------
    state : ExecutorState
        The run's executor.
    run : Run
    now : float
        Monotonic seconds.

    Returns
    -------
    dict of str to object
    """
    return {
        "confirmed": run.confirmed_by or "no",
        "ordered_age": now - run.planned_at,
        "ordered_born": run.task.incarnation,
        "stop_age": compute_age(run.stop_answered_at, now),
        "missing_age": compute_age(run.missing_since, now),
        "born": state.incarnation,
        "born_age": compute_age(state.known_since, now),
        "unanswered_age": compute_age(state.unanswered_at, now),
        "cursor": state.cursor,
        "acknowledged": state.acknowledged,
        "listed": state.entry is not None,
        "reachable": state.reachable,
        "report_age": compute_age(state.reported_at, now),
        "lease_left": state.lease_end - now,
    }


def compute_age(since, now):
    """Return the time that has passed since, seconds; None if `since` is None."""
    return None if since is None else now - since
