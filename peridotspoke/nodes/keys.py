"""The keys of the node's records in the store."""

__all__ = [
    "OWNER_PREFIX",
    "WORK_PREFIX",
    "key_cancel",
    "key_job",
    "key_node",
    "key_orders",
    "key_owner",
    "key_pool_state",
    "key_progress",
    "key_wave",
    "key_withdrawal",
    "split_key",
]

WORK_PREFIX = "work/"
OWNER_PREFIX = f"{WORK_PREFIX}owner/"


def key_job(job_id):
    """Return the key of a job as it was accepted."""
    return f"{WORK_PREFIX}job/{job_id}"


def key_progress(job_id):
    """Return the key of a job's progress."""
    return f"{WORK_PREFIX}progress/{job_id}"


def key_cancel(job_id):
    """Return the key whose presence cancels a job."""
    return f"{WORK_PREFIX}cancel/{job_id}"


def key_node(name):
    """Return the key of a live node, under its lease."""
    return f"{WORK_PREFIX}node/{name}"


def key_orders():
    """Return the key of the orders that the fleet's owner gave a moment ago."""
    return f"{WORK_PREFIX}orders/fleet"


def key_owner(unit):
    """Return the key of a unit's owner, under the owner's lease."""
    return f"{OWNER_PREFIX}{unit}"


def key_pool_state(pool):
    """Return the key at which a pool's owner describes the pool."""
    return f"{WORK_PREFIX}pool/{pool}"


def key_wave(number):
    """Return the key of what is known of a maintenance wave."""
    return f"{WORK_PREFIX}wave/{number}"


def key_withdrawal(machine):
    """Return the key of a machine that is to be emptied."""
    return f"{WORK_PREFIX}withdrawal/{machine}"


def split_key(key):
    """Return a record's kind and its name.

    Examples
    --------
    >>> split_key("work/job/5c0e7a21d94b36f8")
    ('job', '5c0e7a21d94b36f8')
    """
    _, kind, name = key.split("/", 2)
    return kind, name
