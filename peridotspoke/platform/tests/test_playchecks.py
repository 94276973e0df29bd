"""Tests of the checks of plays, on records made by hand."""

import math
from types import SimpleNamespace

import pytest

from peridotspoke.platform.tests.fleetplay import Job
from peridotspoke.platform.tests.playchecks import find_breaks, find_late_pairs
from peridotspoke.platform.tests.playexecutors import RunRecord

JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"


def make_run(run, began_at, ended_at, kind="done", task=TASK, **fields):
    return RunRecord(
        task,
        run,
        f"i-{run}",
        "north",
        began_at,
        ended_at=ended_at,
        kind=kind,
        **fields,
    )


def make_late_run(run, began_at, ended_at, kind="done", **fields):
    fields = {"was_for_former": True, "given_up_at": 9.0} | fields
    return make_run(run, began_at, ended_at, kind, was_late=True, **fields)


def make_play(runs, answers=(200,), orders=(), spans=(), drains=(), **fields):
    steps = [{"count": 1}, {"count": 1, "after": [0]}]
    job = Job(JOB_ID, f"/urgent-north/{JOB_ID}", {"steps": steps}, "steps")
    job.answers = list(answers)
    for name, value in fields.items():
        setattr(job, name, value)
    machines = SimpleNamespace(orders=orders, upkeeps=[])
    store = SimpleNamespace(completed_waves=[])
    site = SimpleNamespace(runs=runs, machines=machines, store=store, executors=[])
    troubles = SimpleNamespace(spans=spans, drains=drains)
    return SimpleNamespace(
        jobs={JOB_ID: job}, site=site, troubles=troubles, asked_at=100.0
    )


@pytest.mark.parametrize(
    ("rule", "play"),
    [
        ("TWICE", make_play([make_run(1, 10, 12, "stopped"), make_run(2, 11.9, 13)])),
        ("TWICE", make_play([make_run(1, 10, 12, noted_at=14), make_run(2, 13, 15)])),
        ("TWICE", make_play([make_run(1, 10, 12, "lapsed"), make_run(1, 13, 15)])),
        (
            "TWICE",
            make_play([make_run(2, 12.5, 13)], states=[(10, 11, 200, "completed")]),
        ),
        ("ORDER", make_play([make_run(1, 10, 12, task=f"{JOB_ID}.0.1.0")])),
        ("REFUSED", make_play([make_run(1, 10, 12)], answers=(503, 429))),
        ("UNASKED", make_play([make_run(1, 10, 12, task=f"{'a' * 16}.0.0.0")])),
        ("UNASKED", make_play([make_run(1, 20, 21)], cancelled_at=10.0)),
        ("UNASKED", make_play([make_run(1, 9, math.inf)], cancelled_at=10.0)),
        ("GANG", make_play([make_run(1, 10, 13, "alone")])),
        ("MIXED", make_play([], states=[(10, 11, 200, "completed")])),
        ("LOST", make_play([], accepted_at=5.0, states=[(99, 99, 410, None)])),
        ("LOST", make_play([], accepted_at=5.0, states=[(9, 9, 200, "failed")])),
        (
            "ONE",
            make_play([], orders=[(1, "move", "m", "a", 5), (2, "up", "m", "b", 4)]),
        ),
        (
            "ONE",
            make_play([], orders=[(1, "move", "m", "a", 5), (2, "up", "m", "b", 5)]),
        ),
        ("DRAIN", make_play([make_run(1, 13, 14)], drains=[("i-1", 10.0, 15.0)])),
    ],
)
def test_a_broken_rule_is_found(rule, play):
    assert rule in {text.partition(" ")[0] for text in find_breaks(play)}


@pytest.mark.parametrize(
    "play",
    [
        make_play([make_run(1, 10, 12, "stopped"), make_run(2, 12, 13)]),
        make_play(
            [make_run(1, 10, 12, noted_at=14, has_lapsed=True), make_run(2, 13, 15)]
        ),
        make_play([make_run(1, 10, 12)], answers=(503, 0, 503)),
        make_play([make_run(1, 20, 21, was_late=True)], cancelled_at=10.0),
        make_play([make_run(1, 20, 21)], cancelled_at=10.0, spans=[("kill", 18, 19)]),
        make_play([make_run(1, 10, 13, "alone")], spans=[("cut", 8, 11)]),
    ],
)
def test_what_the_rules_allow_is_no_break(play):
    assert not find_breaks(play)


@pytest.mark.parametrize(
    "runs",
    [
        [make_late_run(1, 10, 12, noted_at=14), make_run(2, 11, 13)],
        [make_run(2, 10, 12, noted_at=14), make_late_run(1, 15, 16)],
    ],
)
def test_a_late_start_on_a_later_life_after_an_answered_stop_is_listed(runs):
    play = make_play(runs)
    assert not any(text.startswith("TWICE") for text in find_breaks(play))
    (text,) = find_late_pairs(play)
    assert text.startswith("LATE-START on a later life")


@pytest.mark.parametrize(
    "runs",
    [
        [make_late_run(1, 10, 12, given_up_at=math.inf), make_run(2, 11, 13)],
        [make_run(2, 10, 12), make_late_run(1, 11, 13, given_up_at=10.5)],
        [make_late_run(1, 10, 12, was_for_former=False), make_run(2, 11, 13)],
        [make_late_run(1, 10, 12, noted_at=14), make_run(2, 15, 16)],
        [
            make_run(1, 10, 12, noted_at=14),
            make_late_run(2, 15, 16, given_up_at=math.inf),
        ],
    ],
)
def test_another_pair_with_a_late_start_is_a_break(runs):
    # Guards against excusing what an owner can prevent.
    play = make_play(runs)
    assert any(text.startswith("TWICE") for text in find_breaks(play))
    assert not find_late_pairs(play)
