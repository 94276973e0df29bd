"""The settings of each program."""

from pydantic import Field, model_validator

from peridotspoke.settings import ProgramSettings

__all__ = [
    "AuditSettings",
    "ControlSettings",
    "EntrySettings",
    "PublishSettings",
    "StandinSettings",
    "TrialSettings",
]

ADDRESS_PATTERN = r"^\d+\.\d+\.\d+\.\d+:\d+$"
ADDRESS_LIST_PATTERN = r"^(\d+(\.\d+){3}:\d+(,\d+(\.\d+){3}:\d+)*)?$"


class ProcessSettings(ProgramSettings):
    """Settings of the programs that run on an entry instance."""

    name: str = Field(min_length=1, description="name of this process")
    zone: str = Field(min_length=1, description="availability zone of this instance")
    admin: str = Field(
        "127.0.0.1:8081",
        pattern=ADDRESS_PATTERN,
        description="address for metrics and health",
    )
    peer_listen: str = Field(
        "127.0.0.1:8082", pattern=ADDRESS_PATTERN, description="address for peers"
    )
    seed_peers: str = Field(
        "",
        pattern=ADDRESS_LIST_PATTERN,
        description="addresses of peers for a start without the platform, "
        "separated by commas",
    )
    lease_ttl: float = Field(
        6.0, ge=1, description="time to live of the process's lease, seconds"
    )


class EntrySettings(ProcessSettings):
    """Settings of peridotspoke-entry."""

    listen: str = Field(
        "127.0.0.1:8080", pattern=ADDRESS_PATTERN, description="address for callers"
    )
    slot_shares: str = Field(
        "fixed",
        pattern="^(fixed|lent)$",
        description="how the slots of executors are shared: fixed or lent; the same "
        "in all entry instances",
    )
    entry_instances: int = Field(
        8, ge=1, le=64, description="most entry instances alive at once, a number"
    )
    list_interval: float = Field(
        1.0, gt=0, description="time between readings of the instance list, seconds"
    )
    stop_limit: float = Field(
        30.0, gt=0, description="longest time that a planned stop takes, seconds"
    )
    stop_notice: float = Field(
        3.0,
        ge=0,
        description="time of a planned stop in which requests are still taken, "
        "until the balancer has noticed, seconds",
    )
    connect_timeout: float = Field(
        1.0, gt=0, description="limit of opening a connection to an upstream, seconds"
    )
    attempt_limit: float = Field(
        1.0,
        gt=0,
        description="shortest time after which a silent upstream is given up for "
        "another, seconds",
    )
    idle_life: float = Field(
        5.0, gt=0, description="time that a connection to an upstream idles, seconds"
    )
    body_timeout: float = Field(
        10.0,
        gt=0,
        description="limit of reading a caller's body or writing it an answer, seconds",
    )
    memory: float = Field(
        400.0,
        gt=0,
        description="memory that the process may use, MB; callers' connections and "
        "requests get nine tenths of what is above 90 MB, less the memory for bodies, "
        "from 4 to 160 MB",
    )
    body_memory: int = Field(
        64 << 20, ge=1 << 20, description="memory for all bodies at once, bytes"
    )
    answer_memory: int = Field(
        32 << 20, ge=0, description="memory for remembered answers, bytes"
    )
    answer_entries: int = Field(
        10_000, ge=0, description="answers remembered at once, a number"
    )
    caller_connections: int = Field(
        4096, ge=1, description="most connections of callers at once, a number"
    )

    @model_validator(mode="after")
    def check_stop_times(self):
        """Reject a stop notice that leaves no time to finish running requests."""
        if self.stop_notice >= self.stop_limit:
            raise ValueError(
                "--stop-notice / PERIDOTSPOKE_STOP_NOTICE: "
                f"found {self.stop_notice:g}, expected less than the stop limit of "
                f"{self.stop_limit:g} seconds"
            )
        return self


class ControlSettings(ProcessSettings):
    """Settings of peridotspoke-control."""

    peer_listen: str = Field(
        "127.0.0.1:8083", pattern=ADDRESS_PATTERN, description="address for peers"
    )
    admin: str = Field(
        "127.0.0.1:8084",
        pattern=ADDRESS_PATTERN,
        description="address for metrics and health",
    )
    plan_interval: float = Field(
        1.0, gt=0, description="time between two rounds of planning, seconds"
    )


class PublishSettings(ProgramSettings):
    """Settings of peridotspoke-publish."""

    directory: str = Field(
        ".", description="directory of the declaration files, searched in depth"
    )
    operator: str = Field("operator", min_length=1, description="who publishes")
    reason: str = Field("", description="why this is published")
    expected_version: int | None = Field(
        None, ge=0, description="version that the operator saw; the head's by default"
    )
    wait: bool = Field(
        False, description="whether to wait until the version is in force everywhere"
    )
    wait_limit: float = Field(30.0, gt=0, description="longest such wait, seconds")
    output: str = Field(
        "table", pattern="^(table|json)$", description="form of the output"
    )


class AuditSettings(ProgramSettings):
    """Settings of peridotspoke-audit."""

    key: str = Field("", description="key whose changes are shown")
    instance: str = Field("", description="instance whose changes are shown")
    pool: str = Field("", description="pool whose changes are shown")
    last: int = Field(1000, ge=1, description="most changes shown, the newest")
    output: str = Field(
        "table", pattern="^(table|json)$", description="form of the output"
    )


class StandinSettings(ProgramSettings):
    """Settings of peridotspoke-standin."""

    name: str = Field("standin", min_length=1, description="name of this stand-in")
    listen: str = Field(
        "127.0.0.1:2379", pattern=ADDRESS_PATTERN, description="address to serve on"
    )


class TrialSettings(ProgramSettings):
    """Settings of peridotspoke-trial."""

    requests: int = Field(200, ge=1, le=100_000, description="requests to send")
    seed: int = Field(1, ge=0, description="seed of the random choices")
    example: str = Field(
        "", description="directory of declarations; empty takes a built-in example"
    )
