"""Interfaces and HTTP clients of the platform's services.

The services are a key-value service, a list of instances, reports of their usage,
actions on instances, and workers that run tasks.
"""

from peridotspoke.store.actions import HttpInstanceActions, InstanceActions
from peridotspoke.store.budget import (
    CallPriority,
    RateLimitedKeyValueService,
    open_service,
)
from peridotspoke.store.following import (
    FollowedRecords,
    FollowingRules,
    follow_prefix,
)
from peridotspoke.store.gateway import GatewayKeyValueService
from peridotspoke.store.instances import (
    HttpInstanceList,
    InstanceList,
    ListedInstance,
    parse_instances,
)
from peridotspoke.store.keyvalue import (
    MAX_VALUE,
    Change,
    CommitResult,
    Condition,
    KeyValueService,
    Lease,
    PrefixCheck,
    Put,
    Record,
    Snapshot,
    SwapResult,
    Transaction,
    WatchBatch,
)
from peridotspoke.store.records import (
    AUDIT_PREFIX,
    ArchivedChanges,
    ChangeNote,
    Stored,
    decode_record,
    decode_value,
    encode_stored,
    swap_stored,
)
from peridotspoke.store.usage import (
    HttpUsageReports,
    UsageReport,
    UsageReports,
    parse_usage,
)

__all__ = [
    "HttpUsageReports",
    "UsageReport",
    "UsageReports",
    "parse_usage",
    "AUDIT_PREFIX",
    "ArchivedChanges",
    "MAX_VALUE",
    "CallPriority",
    "Change",
    "ChangeNote",
    "CommitResult",
    "Condition",
    "FollowedRecords",
    "FollowingRules",
    "GatewayKeyValueService",
    "HttpInstanceActions",
    "HttpInstanceList",
    "InstanceActions",
    "InstanceList",
    "KeyValueService",
    "Lease",
    "ListedInstance",
    "PrefixCheck",
    "Put",
    "RateLimitedKeyValueService",
    "Record",
    "Snapshot",
    "Stored",
    "SwapResult",
    "Transaction",
    "WatchBatch",
    "decode_record",
    "decode_value",
    "encode_stored",
    "follow_prefix",
    "open_service",
    "parse_instances",
    "swap_stored",
]
