"""Review of issue 35: an answer from a former address, in the real order."""

from dataclasses import replace

from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_entry,
    make_ledger,
    plan,
    report,
    store,
)

FORMER_ADDRESS = "10.0.0.1:80"
ADDRESS = "10.0.0.2:80"


def test_an_old_entry_that_is_read_before_the_jobs_releases_no_later_life():
    """A supervisor's round applies the entries first and the jobs after them."""
    first = make_ledger()
    first.see_entry(replace(make_entry("e1", incarnation=2), address=ADDRESS), 0.0)
    report(first, "e1", 0.0, incarnation=2)
    progress = add_job(first)
    plan(first, 0.0)
    store(first)
    second = make_ledger(fence=8)
    second.see_entry(make_entry("e1", incarnation=1), 0.1)
    second.add_job(progress)
    second.release_departed("e1", FORMER_ADDRESS, 0.2)
    tasks = list(progress.list_tasks())
    assert [task.status for task in tasks] == [TaskStatus.ASSIGNED] * 2
