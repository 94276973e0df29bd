"""Tests of the checks of limits, on records made by hand."""

import math
from types import SimpleNamespace

import pytest

from peridotspoke.platform.tests.fleetplay import Job
from peridotspoke.platform.tests.playexecutors import RunRecord
from peridotspoke.platform.tests.playlimitchecks import (
    compute_free_quota,
    find_over_limits,
)
from peridotspoke.platform.tests.playversions import read_versions

JOB_ID, OTHER_ID = "5c0e7a21d94b36f8", "0b7df1a5c6e24398"


def make_document(cpu=0, memory=0):
    limit = {"cpu": cpu, "memMb": memory, "gpu": 0}
    tenants = [
        {"name": "olive", "apiKeys": [], "maxCount": limit},
        {"name": "plum", "apiKeys": [], "maxCount": {}},
    ]
    return {"tenants": tenants}


def make_job(job_id=JOB_ID, workspace="olive", cpu=1000):
    steps = [{"count": 9, "cpu": cpu, "memMb": 100}]
    return Job(job_id, f"/plain-north/{job_id}", {"steps": steps}, "plain", workspace)


def make_runs(*spans, job_id=JOB_ID, **fields):
    return [
        RunRecord(
            f"{job_id}.0.0.{number}",
            1,
            f"i-{number}",
            "north",
            began_at,
            ended_at=ended_at,
            **fields,
        )
        for number, (began_at, ended_at) in enumerate(spans)
    ]


def find(runs, configurations, jobs=None):
    jobs = jobs or [make_job(), make_job(OTHER_ID, cpu=4000)]
    versions = read_versions(configurations)
    return find_over_limits(runs, {job.job_id: job for job in jobs}, versions)


FOUR = [(10, 20), (11, 20), (12, 20), (13, 20)]


@pytest.mark.parametrize(
    ("runs", "configurations"),
    [
        (make_runs(*FOUR), [(0, make_document(cpu=2000))]),
        (make_runs(*FOUR), [(0, make_document(memory=200))]),
        (make_runs(*FOUR), [(0, make_document()), (9.9, make_document(cpu=2000))]),
        (make_runs(*FOUR[:3], (13, math.inf)), [(0, make_document(cpu=2000))]),
        (
            make_runs(*FOUR[:3], was_late=True) + make_runs(*[(13, 20)] * 4)[3:],
            [(0, make_document(cpu=2000))],
        ),
        (
            make_runs((10, 20), job_id=OTHER_ID) + make_runs((11, 12)),
            [(0, make_document(cpu=2000))],
        ),
    ],
    ids=["cpu", "memory", "lowered", "goes on", "beside late starts", "large beside"],
)
def test_a_start_above_the_limit_is_found(runs, configurations):
    # Guards against plays that pass whatever a workspace has running.
    (text,) = find(runs, configurations)
    assert text.startswith("QUOTA ")


@pytest.mark.parametrize(
    ("runs", "configurations"),
    [
        (make_runs(*FOUR), [(0, make_document(cpu=4000))]),
        (make_runs(*FOUR), [(0, make_document(cpu=3000))]),  # by one task
        (make_runs(*FOUR), [(0, make_document())]),
        (make_runs(*FOUR), [(0, make_document()), (10.5, make_document(cpu=1000))]),
        (make_runs(*FOUR), [(0, make_document(cpu=1)), (11, make_document(cpu=9000))]),
        (
            make_runs((10, 11), (11, 12), (12, 13), (13, 14)),
            [(0, make_document(cpu=1000))],
        ),
        (
            make_runs(*FOUR[:2]) + make_runs(*FOUR, was_late=True)[2:],
            [(0, make_document(cpu=2000))],
        ),
        (make_runs((10, 20), job_id=OTHER_ID), [(0, make_document(cpu=2000))]),
    ],
    ids=[
        "fits",
        "one task",
        "none",
        "just lowered",
        "just raised",
        "in turn",
        "late",
        "large alone",
    ],
)
def test_what_the_rule_allows_is_no_break(runs, configurations):
    assert not find(runs, configurations)


def test_a_workspace_without_a_limit_and_a_job_without_a_workspace_have_none():
    # Guards against breaks that are reported for what no limit holds back.
    configurations = [(0, make_document(cpu=1))]
    assert not find(make_runs(*FOUR), configurations, [make_job(workspace="plum")])
    assert not find(make_runs(*FOUR), configurations, [make_job(workspace="")])


def make_play(*spans):
    document = make_document(4000, 200)
    store = SimpleNamespace(configurations=[(0, make_document()), (1, document)])
    site = SimpleNamespace(runs=make_runs(*spans), store=store)
    return SimpleNamespace(site=site, jobs={JOB_ID: make_job()})


def test_the_free_share_of_a_limit_is_that_of_the_scarcest_resource():
    # Guards against jobs that are reported lost while their workspace's limit is used.
    play = make_play((10, math.inf))
    assert compute_free_quota(play, make_job(), 20) == 0.5
    assert compute_free_quota(play, make_job(cpu=3000), 20) == 0.5
    assert compute_free_quota(play, make_job(cpu=3001), 20) == 0.0
    gang = make_job(cpu=400)
    gang.body["steps"][0]["gang"] = True
    assert compute_free_quota(play, gang, 20) == 0.0
    assert compute_free_quota(play, make_job(workspace="plum"), 20) == 1.0
    assert compute_free_quota(play, make_job(workspace=""), 20) == 1.0


@pytest.mark.parametrize(
    ("spans", "share"),
    [
        ([], 1.0),
        ([(10, 16.9)], 1.0),
        ([(10, 17.1)], 0.5),
        ([(19, 19.5), (19.6, 19.9)], 0.5),  # by turns
        ([(19, 19.7), (19.6, 19.9)], 0.0),
        ([(20.1, 21)], 1.0),
    ],
)
def test_a_limit_is_free_if_it_was_for_three_seconds(spans, share):
    # Guards against both: a job that waits for its turn is reported lost, and one that
    # waits while nothing of its workspace runs is not.
    assert compute_free_quota(make_play(*spans), make_job(), 20) == share
