"""The keys of the nodes' records in the store.

Each node follows the records under `WORK_PREFIX`, which are few and small. The jobs of
a pool are followed only by the pool's owner: their number and size grow with the
traffic, and some nodes lack the bandwidth to follow the jobs of all pools. The quotas
of workspaces are followed by the nodes that own pools while there are limits. The
identities of jobs and the records that the fleet's owner keeps for its successor are
read when needed and followed by no node.
"""

from typing import NamedTuple

__all__ = [
    "OWNER_PREFIX",
    "QUOTA_PREFIX",
    "WORK_PREFIX",
    "JobKey",
    "key_cancellation",
    "key_identity",
    "key_job",
    "key_lease_statement",
    "key_node",
    "key_orders",
    "key_owner",
    "key_pool_demand",
    "key_progress",
    "key_queue_counts",
    "key_quota",
    "key_refused",
    "key_wave",
    "key_withdrawal",
    "prefix_job",
    "prefix_jobs",
    "split_job_key",
    "split_key",
    "split_quota_key",
]

WORK_PREFIX = "work/"
OWNER_PREFIX = f"{WORK_PREFIX}owner/"
JOBS_PREFIX = "jobs/"
IDENTITY_PREFIX = "ids/"
FLEET_PREFIX = "fleet/"
QUOTA_PREFIX = "quota/"


class JobKey(NamedTuple):
    """The parts of the key of a job's record; `kind` is job, progress or cancel."""

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
    """Return the key of a job's identity, whose value is the name of the job's pool.

    All pools share these keys, so a job is stored only once even if its queue moves to
    another pool.
    """
    return f"{IDENTITY_PREFIX}{job_id}"


def key_job(pool, job_id):
    """Return the key of a job's description, as it was accepted."""
    return f"{prefix_job(pool, job_id)}job"


def key_progress(pool, job_id):
    """Return the key of a job's progress, which the owner of its pool writes."""
    return f"{prefix_job(pool, job_id)}progress"


def key_cancellation(pool, job_id):
    """Return the key of a job's cancellation, which exists once it is requested."""
    return f"{prefix_job(pool, job_id)}cancel"


def split_job_key(key):
    """Return the parts of the key of a job's record as a `JobKey`.

    Examples
    --------
    >>> split_job_key("jobs/glyphs/5c0e7a21d94b36f8/cancel")
    JobKey(pool='glyphs', job_id='5c0e7a21d94b36f8', kind='cancel')
    """
    prefix, job_id, kind = key.rsplit("/", 2)
    return JobKey(prefix.removeprefix(JOBS_PREFIX), job_id, kind)


def key_lease_statement(unit):
    """Return the key of the statement that a unit's owner leaves when it stops."""
    return f"{WORK_PREFIX}leases/{unit}"


def key_node(name):
    """Return the key of a live node's record, which is attached to the node's lease."""
    return f"{WORK_PREFIX}node/{name}"


def key_orders():
    """Return the key of the recent orders of the fleet's owner."""
    return f"{FLEET_PREFIX}orders"


def key_owner(unit):
    """Return the key of a unit's owner, which is attached to the owner's lease."""
    return f"{OWNER_PREFIX}{unit}"


def key_pool_demand(pool):
    """Return the key of a pool's demand, which the pool's owner writes."""
    return f"{WORK_PREFIX}pool/{pool}"


def key_queue_counts(pool):
    """Return the key of the job counts of a pool's queues.

    The pool's owner writes how many jobs of each queue wait for their first start.
    """
    return f"{WORK_PREFIX}waiting/{pool}"


def key_quota(workspace):
    """Return the key of how the pools share a workspace's limit."""
    return f"{QUOTA_PREFIX}{workspace}"


def split_quota_key(key):
    """Return the workspace of a quota's key."""
    return key.removeprefix(QUOTA_PREFIX)


def key_refused(name):
    """Return the key of what a node refused in an outage, attached to its lease."""
    return f"{WORK_PREFIX}refused/{name}"


def key_wave(number):
    """Return the key of the progress of a maintenance wave."""
    return f"{FLEET_PREFIX}wave/{number}"


def key_withdrawal(machine):
    """Return the key of the withdrawal of a machine, whose work is to be removed."""
    return f"{WORK_PREFIX}withdrawal/{machine}"


def split_key(key):
    """Return the kind and the name of a record under `WORK_PREFIX`.

    Examples
    --------
    >>> split_key("work/withdrawal/m-1")
    ('withdrawal', 'm-1')
    """
    _, kind, name = key.split("/", 2)
    return kind, name
