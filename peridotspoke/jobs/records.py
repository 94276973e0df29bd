"""Keys and identifiers of jobs in the platform's service."""

import hashlib
from dataclasses import dataclass

from peridotspoke.exceptions import RequestError

__all__ = [
    "JOBS_PREFIX",
    "JobId",
    "derive_batch_id",
    "digest_submission",
    "key_batch",
    "parse_job_id",
    "prefix_pool",
]

JOBS_PREFIX = "jobs/"
DIGEST_SIZE = 16  # bytes
MAX_BATCH_ID = 64  # characters


@dataclass(frozen=True, slots=True)
class JobId:
    """Identifier of a job: the identifier of its batch and its index there.

    Examples
    --------
    >>> str(JobId("4f1c", 2))
    '4f1c.2'
    """

    batch: str
    index: int

    def __str__(self):
        """Return the form shown to callers."""
        return f"{self.batch}.{self.index}"


def parse_job_id(text):
    """Return the `JobId` in `text`.

    Raises
    ------
    RequestError
        If `text` does not have the form ``batch.index``.

    Examples
    --------
    >>> parse_job_id("4f1c.2")
    JobId(batch='4f1c', index=2)
    """
    batch, separator, index = text.rpartition(".")
    valid = separator and batch.isalnum() and batch.isascii() and index.isdecimal()
    if not valid or len(batch) > MAX_BATCH_ID or len(index) > 6:
        raise RequestError(
            f"expected a job's identity such as 4f1c.0, found {text[:80]!r}",
            step="read job identity",
        )
    return JobId(batch, int(index))


def prefix_pool(pool):
    """Return the key prefix of the batches of a pool."""
    return f"{JOBS_PREFIX}{pool}/"


def key_batch(pool, batch_id):
    """Return the key of the record of a batch."""
    return prefix_pool(pool) + batch_id


def derive_batch_id(service, key):
    """Return the identifier of the batch of a submission with an idempotency key.

    The identifier is a hash of its arguments, so that a repeat at any entry instance
    finds the record of the first submission.

    Examples
    --------
    >>> derive_batch_id("feldkirch", "order-7")[:9]
    'k1dc92016'
    """
    text = f"{service}\0{key}".encode()
    return "k" + hashlib.blake2b(text, digest_size=DIGEST_SIZE).hexdigest()


def digest_submission(body):
    """Return the hash of a submission's body in hexadecimal digits."""
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE).hexdigest()
