"""Batch jobs: acceptance, queueing, placement on workers and supervision."""

from peridotspoke.jobs.acceptance import (
    Acceptance,
    BatchCollector,
    CollectorSettings,
    JobSubmission,
)
from peridotspoke.jobs.accepting import JobAcceptor, JobFound
from peridotspoke.jobs.board import JobBoard
from peridotspoke.jobs.environment import JobPoolView, JobsEnvironment, JobsSettings
from peridotspoke.jobs.estimation import EstimationSettings, UsageEstimator
from peridotspoke.jobs.evidence import EvidenceSettings, FailureEvidence
from peridotspoke.jobs.messages import (
    Job,
    JobBatch,
    JobPhase,
    JobSpec,
    JobState,
    Urgency,
)
from peridotspoke.jobs.needs import PlacementSettings, Resources, WorkerCapacity
from peridotspoke.jobs.placement import plan_placements
from peridotspoke.jobs.reading import (
    MAX_SUBMISSION,
    PoolLimits,
    check_job,
    parse_submission,
)
from peridotspoke.jobs.records import JOBS_PREFIX, JobId, key_batch, parse_job_id
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.jobs.supervising import JobsTask

__all__ = [
    "Acceptance",
    "BatchCollector",
    "BoardSettings",
    "CollectorSettings",
    "EstimationSettings",
    "EvidenceSettings",
    "FailureEvidence",
    "JOBS_PREFIX",
    "Job",
    "JobAcceptor",
    "JobBatch",
    "JobBoard",
    "JobFound",
    "JobId",
    "JobPhase",
    "JobPoolView",
    "JobSpec",
    "JobState",
    "JobSubmission",
    "JobsEnvironment",
    "JobsSettings",
    "JobsTask",
    "MAX_SUBMISSION",
    "PlacementSettings",
    "PoolLimits",
    "Resources",
    "Urgency",
    "UsageEstimator",
    "WorkerCapacity",
    "check_job",
    "key_batch",
    "parse_job_id",
    "parse_submission",
    "plan_placements",
]
