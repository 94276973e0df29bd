"""Tests of shares in the records, refusals, log and metrics of a node."""

from dataclasses import dataclass, replace

import msgspec
import pytest

from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes import (
    jobanswers as answers,
    poolrecords,
)
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.poolrecords import PoolRecords
from peridotspoke.nodes.poolshares import (
    LINE_INTERVAL,
    MAX_LABELS,
    MAX_LINES,
    SharedRounds,
)
from peridotspoke.nodes.records import decode_value, encode_value
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.tests.handlers import decode, follow_owner, submit
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.nodes.view import StoreView
from peridotspoke.store import Record
from peridotspoke.workloads.configuration import Configuration, Workspace
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_ledger

ONE_CORE = Step(4, Need(1000, 100), 1.0)


@dataclass(frozen=True, slots=True)
class EarlierDemand:
    """The demand as builds without workspaces decode it."""

    cores: float = 0.0
    late_cores: float = 0.0
    spread: int = 0
    removable: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    wait: float = 0.0


def decode_demand(value, value_class=PoolDemand):
    return decode_value(Record("pool/a", value, 1), value_class)


def test_a_demand_without_workspaces_is_stored_as_by_earlier_builds():
    """Guards against bytes and fields that a system without workspaces doesn't need."""
    value = encode_value(PoolDemand(cores=4.0, wait=2.0))
    assert value == encode_value(EarlierDemand(cores=4.0, wait=2.0))
    assert decode_demand(value) == PoolDemand(cores=4.0, wait=2.0)
    assert decode_demand(value).workspace_waits is msgspec.UNSET


def test_builds_of_either_kind_decode_the_demand_of_the_other():
    """Both run beside each other while a new version is rolled out."""
    demand = PoolDemand(cores=4.0, wait=2.0, workspace_waits={"a": 12.5})
    value = encode_value(demand)
    assert decode_demand(value) == demand
    assert decode_demand(value, EarlierDemand) == EarlierDemand(cores=4.0, wait=2.0)
    none = replace(demand, workspace_waits={})
    assert decode_demand(encode_value(none)) == none


def make_workspace_handler(workspace):
    """Return the parts of a node, and a handler whose jobs are of a workspace."""
    parts = make_parts()

    def decode_job(body, job_id, queue, wall):
        return replace(decode(body, job_id, queue, wall), workspace=workspace)

    return parts, JobRequestHandler(parts, decode_job)


@pytest.mark.parametrize(
    ("workspace", "wait", "waits", "outcome"),
    [
        ("hot", 1.0, {"hot": 30.0}, answers.Refused),
        ("other", 30.0, {"hot": 30.0}, answers.Accepted),
        ("other", 30.0, {}, answers.Accepted),
        ("other", 30.0, msgspec.UNSET, answers.Refused),
        ("", 30.0, {"hot": 30.0}, answers.Refused),
        ("", 1.0, {"hot": 30.0, "": 30.0}, answers.Accepted),
    ],
)
async def test_a_job_is_judged_by_the_wait_of_its_workspace(
    workspace, wait, waits, outcome
):
    """Guards against refusals of the others for what one workspace has sent."""
    parts, handler = make_workspace_handler(workspace)
    follow_owner(parts, 7, 7, waiting=5)
    parts.view.pools["pool"] = PoolDemand(wait=wait, workspace_waits=waits)
    answer = await submit(handler)
    assert isinstance(answer, outcome)
    if outcome is answers.Refused:
        assert answer.overloaded and answer.retry_after > 20.0


@pytest.mark.parametrize(("age", "published_by"), [(5.1, 7), (0.0, 6)])
async def test_no_job_is_refused_because_of_outdated_waits(age, published_by):
    """The owner is stuck, or another node owns the pool now."""
    parts, handler = make_workspace_handler("hot")
    follow_owner(parts, 7, published_by, waiting=5)
    demand = PoolDemand(wait=30.0, workspace_waits={"hot": 30.0})
    parts.view.pools["pool"] = demand
    parts.clock.advance(age)
    parts.record_store_call("watch", "200", served=True)
    assert isinstance(await submit(handler), answers.Accepted)


def make_configuration(count, version=1):
    names = (f"w{number:03}" for number in range(count))
    return Configuration(version, workspaces=tuple(map(Workspace, names)))


def make_records(configuration):
    """Return a pool's records on a node, and its ledger with 40 jobs of a workspace."""
    parts = make_parts()
    ledger = make_ledger("e0")
    for number in range(40):
        add_job(ledger, ONE_CORE, job_id=f"{number:02}", workspace="w000")
    plan_runs(ledger, 1.0, WALL_EPOCH + 1.0)
    parts.view.configuration = configuration
    holding, tasks = Holding("pool", 1, 0.0), TaskSet("pool")
    return PoolRecords(parts, holding, PoolJobs("pool"), ledger, tasks, print)


@pytest.mark.parametrize("count", [0, 2])
def test_waits_are_published_only_where_there_are_workspaces(count, monkeypatch):
    """Guards against work and bytes that a system without workspaces doesn't need."""
    records = make_records(make_configuration(count))
    if not count:
        monkeypatch.setattr(poolrecords, "sum_uses", None)
    demand, _ = records._estimate_demand(1.0)
    if not count:
        assert demand.workspace_waits is msgspec.UNSET
    else:
        assert demand.workspace_waits == {"w000": pytest.approx(160 / 8)}


def test_a_wait_that_changes_is_published_before_the_next_regular_time():
    """Guards against a second in which a workspace's excess is still accepted."""
    last = PoolDemand(cores=8.0, workspace_waits={"a": 4.0, "b": 8.0})
    same = replace(last, workspace_waits={"a": 4.3, "b": 7.7})
    longer = replace(last, workspace_waits={"a": 4.6, "b": 8.0})
    ended = replace(last, workspace_waits={"b": 8.0})
    unset = replace(last, workspace_waits=msgspec.UNSET)
    assert not poolrecords._has_changed(last, same)
    assert not poolrecords._has_changed(unset, unset)
    for changed in (longer, ended, unset):
        assert poolrecords._has_changed(last, changed)


class Reported:
    """A pool with executors for 8 tasks, its rounds and what they report."""

    def __init__(self, count):
        self.view = StoreView()
        self.view.configuration = make_configuration(count)
        self.ledger = make_ledger("e0")
        self.metrics, self.lines = MetricsRegistry(), []
        self.rounds = SharedRounds(
            self.view,
            "pool",
            self.metrics,
            lambda event, **fields: self.lines.append((event, fields)),
        )

    def run(self, begin, end):
        """Run 100 rounds a second."""
        for number in range(round(begin * 100), round(end * 100)):
            now = number / 100
            shares = self.rounds.get()
            plan_runs(self.ledger, now, WALL_EPOCH + now, None, shares)
            self.rounds.update(now)

    def end_jobs(self):
        for job_id in list(self.ledger.jobs):
            self.ledger.cancel_job(job_id, WALL_EPOCH)

    def read_gauge(self, name, workspace):
        series = f'{name}{{pool="pool",workspace="{workspace}"}} '
        (line,) = (
            line
            for line in self.metrics.render().decode().splitlines()
            if line.startswith(f"peridotspoke_{series}")
        )
        return float(line.rpartition(" ")[2])


def test_a_workspace_beyond_its_share_has_one_line_when_it_begins_and_one_at_its_end():
    """Guards against a line in each round, and against a change that nobody sees."""
    reported = Reported(2)
    add_job(reported.ledger, ONE_CORE, job_id="b", workspace="w001")
    for number in range(9):
        add_job(reported.ledger, ONE_CORE, job_id=f"a{number}", workspace="w000")
    waits = {"w000": 12.5}
    reported.view.pools["pool"] = PoolDemand(workspace_waits=waits)
    reported.run(1.0, 8.0)
    ((event, fields),) = reported.lines
    assert event == "share-exceeded"
    assert fields["workspace"] == "w000" and fields["exceeded"] is True
    assert fields["entitled"] == pytest.approx(0.5)
    assert fields["demand"] == pytest.approx(36 / 8)
    assert (fields["weight"], fields["wait"]) == (1.0, 12.5)
    assert reported.read_gauge("workspace_use_share", "w000") == pytest.approx(0.5)
    assert reported.read_gauge("workspace_entitled_share", "w001") == 0.5
    assert reported.read_gauge("workspace_wait_seconds", "w000") == 12.5
    reported.view.pools["pool"] = PoolDemand()
    reported.end_jobs()
    reported.run(8.0, 12.0)
    assert [fields["exceeded"] for _, fields in reported.lines] == [True, False]
    assert reported.read_gauge("workspace_use_share", "w000") == 0.0
    assert reported.read_gauge("workspace_wait_seconds", "w000") == 0.0


def test_a_lack_of_capacity_for_less_than_a_second_is_not_logged():
    """Guards against lines about tasks that wait for the end of another one."""
    reported = Reported(2)
    for number in range(9):
        add_job(reported.ledger, ONE_CORE, job_id=f"a{number}", workspace="w000")
    reported.run(1.0, 1.9)
    reported.end_jobs()
    reported.run(1.9, 5.0)
    assert reported.lines == []


def test_lines_and_labels_are_bounded_with_many_workspaces():
    """Guards against a log and metrics that grow with each workspace."""
    count = MAX_LABELS + 50
    reported = Reported(count)
    for number in range(count):
        job_id, workspace = f"{number}", f"w{number:03}"
        add_job(reported.ledger, ONE_CORE, job_id=job_id, workspace=workspace)
    seconds = 6.0
    reported.run(1.0, 1.0 + seconds)
    assert 0 < len(reported.lines) <= MAX_LINES * seconds / LINE_INTERVAL
    told = [fields["workspace"] for _, fields in reported.lines]
    assert len(told) == len(set(told))
    gauges = reported.metrics.render().decode().splitlines()
    uses = [line for line in gauges if "workspace_use_share{" in line]
    assert len(uses) == MAX_LABELS + 1
    assert any('workspace="other"' in line for line in uses)


def test_nothing_is_measured_without_workspaces():
    """A configuration without workspaces costs what it did before."""
    reported = Reported(0)
    assert reported.rounds.get() is None
    add_job(reported.ledger, Step(20, Need(1000, 100), 1.0))
    reported.run(1.0, 4.0)
    assert reported.lines == []
    assert "workspace" not in reported.metrics.render().decode()


def test_a_new_version_of_the_configuration_changes_the_weights():
    """Guards against weights that stay until the pool's next owner."""
    reported = Reported(2)
    before = reported.rounds.get()
    assert reported.rounds.get() is before
    changed = (Workspace("w000", weight=3.0),)
    reported.view.configuration = Configuration(2, workspaces=changed)
    assert reported.rounds.get().weights == {"w000": 3.0}
    reported.view.configuration = Configuration(3)
    assert reported.rounds.get() is None
