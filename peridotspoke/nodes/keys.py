"""The keys of the node's records in the store.

Each node follows the records under `WORK_PREFIX`, which are few and small. The jobs of
a pool are followed by the pool's owner alone: their number and size grow with the
traffic, and not every node's link carries those of all pools. Nobody follows the
identities of jobs and what the fleet's owner keeps for its successor.
"""

from typing import NamedTuple

__all__ = [
    "OWNER_PREFIX",
    "WORK_PREFIX",
    "JobKey",
    "key_cancel",
    "key_identity",
    "key_job",
    "key_node",
    "key_orders",
    "key_owner",
    "key_pool_state",
    "key_waiting",
    "key_progress",
    "key_wave",
    "key_withdrawal",
    "prefix_job",
    "prefix_jobs",
    "split_job_key",
    "split_key",
]

WORK_PREFIX = "work/"
OWNER_PREFIX = f"{WORK_PREFIX}owner/"
JOBS_PREFIX = "jobs/"
IDENTITY_PREFIX = "ids/"
FLEET_PREFIX = "fleet/"


class JobKey(NamedTuple):
    """What a key of a job's records names; `kind` is job, progress or cancel."""

    pool: str
    job_id: str
    kind: str


def prefix_jobs(pool):
    """Return the prefix of all records of a pool's jobs."""
    return f"{JOBS_PREFIX}{pool}/"


def prefix_job(pool, job_id):
    """Return the prefix of all records of one job."""
    return f"{prefix_jobs(pool)}{job_id}/"


def key_identity(job_id):
    """Return the key that makes a job single; it holds the name of the job's pool."""
    return f"{IDENTITY_PREFIX}{job_id}"


def key_job(pool, job_id):
    """Return the key of a job as it was accepted."""
    return f"{prefix_job(pool, job_id)}job"


def key_progress(pool, job_id):
    """Return the key of a job's progress."""
    return f"{prefix_job(pool, job_id)}progress"


def key_cancel(pool, job_id):
    """Return the key whose presence cancels a job."""
    return f"{prefix_job(pool, job_id)}cancel"


def split_job_key(key):
    """Return the `JobKey` of a key of a job's records.

    Examples
    --------
    >>> split_job_key("jobs/glyphs/5c0e7a21d94b36f8/cancel")
    JobKey(pool='glyphs', job_id='5c0e7a21d94b36f8', kind='cancel')
    """
    prefix, job_id, kind = key.rsplit("/", 2)
    return JobKey(prefix.removeprefix(JOBS_PREFIX), job_id, kind)


def key_node(name):
    """Return the key of a live node, under its lease."""
    return f"{WORK_PREFIX}node/{name}"


def key_orders():
    """Return the key of the orders that the fleet's owner gave a moment ago."""
    return f"{FLEET_PREFIX}orders"


def key_owner(unit):
    """Return the key of a unit's owner, under the owner's lease."""
    return f"{OWNER_PREFIX}{unit}"


def key_pool_state(pool):
    """Return the key at which a pool's owner describes the pool."""
    return f"{WORK_PREFIX}pool/{pool}"


def key_waiting(pool):
    """Return the key at which a pool's owner counts the waiting jobs of its queues."""
    return f"{WORK_PREFIX}waiting/{pool}"


def key_wave(number):
    """Return the key of what is known of a maintenance wave."""
    return f"{FLEET_PREFIX}wave/{number}"


def key_withdrawal(machine):
    """Return the key of a machine that is to be emptied."""
    return f"{WORK_PREFIX}withdrawal/{machine}"


def split_key(key):
    """Return a record's kind and its name.

    Examples
    --------
    >>> split_key("work/withdrawal/m-1")
    ('withdrawal', 'm-1')
    """
    _, kind, name = key.split("/", 2)
    return kind, name
