"""Tests of the story of one request, from the lines that the nodes write."""

from peridotspoke.programs.story import collect_story

JOB = "5c0e7a21d94b36f8"
FIRST = f"""\
time=02 event=job-submit job={JOB} outcome=Accepted
time=03 event=job-submit job=0000000000000000 outcome=Accepted
time=09 event=store-lost kind=watch
"""
SECOND = f"""\
time=04 event=run-ordered pool=p job={JOB} task=0.0.0 run=1 executor=i-1
time=05 event=executor-unreachable pool=p executor=i-1 reason="no answer"
time=06 event=executor-unreachable pool=p executor=i-2 reason="no answer"
time=07 event=run-over pool=p job={JOB} task=0.0.0 run=1 reason="lease expired"
time=08 event=job-ended pool=p job={JOB} outcome=completed
"""


def test_the_lines_of_all_nodes_are_joined_in_the_order_of_time():
    """With what befell the executor, and nothing of other requests."""
    story = collect_story([*SECOND.splitlines(), *FIRST.splitlines()], JOB)
    assert [line.split()[0] for line in story] == [
        f"time=0{number}" for number in (2, 4, 5, 7, 8)
    ]


def test_an_unknown_request_has_no_story():
    """The command then fails."""
    assert collect_story(FIRST.splitlines(), "ffffffffffffffff") == []
