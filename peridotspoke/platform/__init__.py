"""What the platform gives: key-value service, instance list, pools and workers."""

from peridotspoke.platform.actions import HttpInstanceActions, InstanceActions
from peridotspoke.platform.budget import (
    BudgetedKeyValueService,
    CallPriority,
    open_service,
)
from peridotspoke.platform.following import (
    FollowedRecords,
    FollowingRules,
    follow_prefix,
)
from peridotspoke.platform.gateway import GatewayKeyValueService
from peridotspoke.platform.instances import (
    HttpInstanceList,
    InstanceList,
    ListedInstance,
    parse_instances,
)
from peridotspoke.platform.keyvalue import (
    MAX_VALUE,
    Change,
    KeyValueService,
    Lease,
    PrefixCheck,
    Record,
    Snapshot,
    SwapResult,
    WatchBatch,
)
from peridotspoke.platform.records import (
    AUDIT_PREFIX,
    ArchivedChanges,
    ChangeNote,
    Stored,
    decode_record,
    encode_stored,
    swap_stored,
)
from peridotspoke.platform.usage import (
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
    "BudgetedKeyValueService",
    "CallPriority",
    "Change",
    "ChangeNote",
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
    "Record",
    "Snapshot",
    "Stored",
    "SwapResult",
    "WatchBatch",
    "decode_record",
    "encode_stored",
    "follow_prefix",
    "open_service",
    "parse_instances",
    "swap_stored",
]
