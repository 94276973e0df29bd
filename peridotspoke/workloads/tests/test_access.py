"""Tests of which calls are served, by their keys and by the age of the proof."""

import pytest

from peridotspoke.workloads.access import (
    CallerKey,
    Denied,
    Granted,
    KeyFault,
    Proof,
    StaleProof,
    UnprovedKey,
    can_access,
    decide_access,
    index_keys,
)
from peridotspoke.workloads.configuration import Queue, Workspace
from peridotspoke.workloads.jobs import Job, Need, Step
from peridotspoke.workloads.limits import describe_excess

QUEUE = Queue("q", "h", "/", "p")
OPEN = Queue("open", "h", "/open/", "p", anonymous=True)
INDEX = index_keys(
    [Workspace("olive", frozenset({"k", "k2"})), Workspace("plum", frozenset({"p"}))]
)


def decide(lines, proved_at=100.0, revocation=0.0, now=100.0, queue=QUEUE):
    proof = Proof(proved_at, revocation)
    return decide_access(queue, CallerKey(lines), INDEX, proof, 100.0, now)


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        ((), KeyFault.ABSENT),
        (("",), KeyFault.ABSENT),
        (("k", "k"), KeyFault.REPEATED),
        (("k", "x"), KeyFault.REPEATED),
        (("\udcff\udcfe",), KeyFault.NOT_TEXT),
        (("x" * 4097,), KeyFault.TOO_LONG),
        (("x" * 8192,), KeyFault.TOO_LONG),
        (("\u00fc" * 2049,), KeyFault.TOO_LONG),
    ],
)
def test_a_call_without_a_well_formed_key_is_denied_without_a_read(lines, fault):
    # Guards against reads of the store that callers can cause without any key.
    assert decide(lines, proved_at=0.0) == Denied(fault)
    assert decide(lines, queue=OPEN) == Granted("")


def test_a_key_of_the_longest_length_is_looked_up():
    assert decide(("x" * 4096,), proved_at=99.9) == UnprovedKey()


@pytest.mark.parametrize("key", ["k", "k2"])
def test_any_key_of_a_workspace_is_accepted(key):
    assert decide((key,), proved_at=0.0) == Granted("olive")


def test_a_key_that_two_workspaces_have_belongs_to_the_first():
    # Guards against nodes that differ in whose job it is.
    shared = [Workspace(name, frozenset({"k"})) for name in ("fig", "date")]
    assert index_keys(shared)["k"].name == "fig"


@pytest.mark.parametrize(
    ("proved_at", "decision"),
    [(99.99, UnprovedKey()), (100.0, Denied(KeyFault.UNKNOWN))],
)
def test_an_unknown_key_is_denied_only_by_a_proof_from_after_the_call(
    proved_at, decision
):
    # Guards against a 401 for a key that a newer configuration has.
    assert decide(("x",), proved_at=proved_at) == decision


@pytest.mark.parametrize(
    ("age", "decision"),
    [(0.0, Granted("olive")), (4.75, Granted("olive")), (4.76, StaleProof("olive"))],
)
def test_a_known_key_is_served_only_while_the_proof_is_young(age, decision):
    # Guards against calls with a revoked key on a node that is cut off.
    assert decide(("k",), proved_at=100.0 - age, revocation=5.0) == decision
    assert decide(("k",), proved_at=100.0 - age) == Granted("olive")


def test_an_anonymous_queue_is_served_whatever_the_proofs_age():
    old = {"proved_at": 0.0, "revocation": 5.0, "queue": OPEN}
    assert decide((), **old) == Granted("")
    assert decide(("x",), **old) == Granted("")
    assert decide(("k",), **old) == Granted("")
    assert decide(("k",), queue=OPEN) == Granted("olive")


@pytest.mark.parametrize(
    ("owner", "caller", "expected"),
    [
        ("olive", "olive", True),
        ("olive", "plum", False),
        ("olive", "", False),
        ("", "plum", True),
        ("", "", True),
        ("olive", None, True),
    ],
)
def test_a_job_of_a_workspace_is_visible_to_its_callers_only(owner, caller, expected):
    # Guards against a caller that sees or cancels another customer's job.
    job = Job("a", "q", "p", "", (), workspace=owner)
    assert can_access(job, caller) is expected


def test_a_key_is_not_part_of_a_representation():
    # Guards against keys in log lines and errors.
    assert "SECRET" not in f"{CallerKey(('SECRET',))} {CallerKey(('SECRET', 'b'))!r}"


@pytest.mark.parametrize(
    ("step", "named"),
    [
        (Step(9, Need(cpu=1000, memory=10)), None),
        (Step(1, Need(cpu=1001)), "1001 cpu"),
        (Step(1, Need(memory=2049)), "2049 memory"),
        (Step(1, Need(accelerators=64)), None),
        (Step(2, Need(cpu=500), gang=True), None),
        (Step(3, Need(cpu=500), gang=True), "1500 cpu"),
    ],
)
def test_a_task_larger_than_its_workspaces_limit_is_described(step, named):
    # Guards against jobs that are accepted and never start.
    job = Job("a", "q", "p", "", (Step(1), step), workspace="olive")
    limited = Workspace("olive", limit=Need(cpu=1000, memory=2048))
    text = describe_excess(job, limited)
    assert text is None if named is None else named in text
    assert describe_excess(job, Workspace("olive")) is None
