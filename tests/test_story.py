"""Tests of collecting the log lines of one job from the logs of several nodes."""

from peridotspoke.programs.story import collect_story

JOB = "5c0e7a21d94b36f8"
FIRST_LOG = f"""\
time=02 event=job-submit job={JOB} outcome=Accepted
time=03 event=job-submit job=0000000000000000 outcome=Accepted
time=09 event=store-lost kind=watch
"""
SECOND_LOG = f"""\
time=04 event=run-ordered pool=p job={JOB} task=0.0.0 run=1 executor=i-1
time=05 event=executor-unreachable pool=p executor=i-1 reason="no answer"
time=06 event=executor-unreachable pool=p executor=i-2 reason="no answer"
time=07 event=run-over pool=p job={JOB} task=0.0.0 run=1 reason="lease expired"
time=08 event=job-ended pool=p job={JOB} outcome=completed
"""


def test_lines_of_all_nodes_are_merged_by_time():
    """Includes events of the job's executor, and excludes those of other jobs."""
    lines = collect_story([*SECOND_LOG.splitlines(), *FIRST_LOG.splitlines()], JOB)
    assert [line.split()[0] for line in lines] == [
        f"time=0{number}" for number in (2, 4, 5, 7, 8)
    ]


def test_unknown_job_has_no_lines():
    """The command exits with an error if no line is found."""
    assert collect_story(FIRST_LOG.splitlines(), "ffffffffffffffff") == []


def test_the_story_tells_why_a_task_that_lasts_stood():
    """What befell its executors, and what the pool said of tasks that wait."""
    told = [
        f"time=10 event=job-taken pool=p job={JOB} inherited=1",
        "time=11 event=executor-listed pool=p executor=i-1 condition=ready",
        f"time=12 event=run-confirmed pool=p job={JOB} task=0.0.0 run=2 executor=i-1",
        "time=13 event=executor-unlisted pool=p executor=i-1 runs=1",
        "time=14 event=task-waiting pool=p tasks=3 job=ffffffffffffffff reason=memory",
        "time=15 event=leases-expired pool=p executor=i-1",
        f"time=16 event=run-over pool=p job={JOB} task=0.0.0 run=2 executor=i-1",
    ]
    others = [
        "time=11 event=executor-listed pool=p executor=i-2 condition=ready",
        "time=14 event=task-waiting pool=q tasks=3 job=ffffffffffffffff reason=memory",
    ]
    assert collect_story([*others, *told], JOB) == told


def test_the_story_tells_what_released_a_run_and_what_the_logs_left_out():
    """Two runs of one task at once, with the beliefs that tell their causes apart."""
    told = [
        f"time=10 instance=n event=run-ordered job={JOB} run=1 executor=i-1 born=5",
        "time=11 instance=n event=entry-lapsed executor=i-1",
        "time=12 instance=n event=incarnation-ignored executor=i-1 born=4 known=5",
        f"time=13 instance=n event=run-over job={JOB} run=1 executor=i-1",
        f"time=14 instance=n event=late-end job={JOB} run=1 executor=i-1",
        "time=15 instance=n event=ends-missing executor=i-1 missing=2",
        f"time=16 instance=n event=job-ended job={JOB}",
        "time=17 instance=n event=log-lines-left-out lines=3 since=15 events=a:3",
    ]
    others = [
        "time=12 instance=m event=log-lines-left-out lines=3 since=11 events=a:3",
        "time=18 instance=n event=log-lines-left-out lines=3 since=17 events=a:3",
        "time=15 instance=n event=ends-missing executor=i-2 missing=2",
    ]
    assert collect_story([*others, *told], JOB) == told


def test_the_story_tells_a_wait_for_the_quota_of_the_workspace():
    """Also where the line names another job of the workspace, which waits before it."""
    told = [
        f"time=10 event=job-taken pool=p job={JOB} workspace=w inherited=0",
        "time=11 event=quota-waiting pool=p job=ffffffffffffffff workspace=w",
        f"time=12 event=quota-waiting pool=p job={JOB} workspace=w task=0.0.0",
        "time=13 event=quota-changed pool=p workspace=w granted=cpu:2000m",
        f"time=14 event=run-ordered pool=p job={JOB} task=0.0.0 run=1 executor=i-1",
    ]
    others = [
        "time=11 event=quota-waiting pool=p job=ffffffffffffffff workspace=v",
        "time=13 event=quota-changed pool=q workspace=w granted=cpu:2000m",
    ]
    assert collect_story([*others, *told], JOB) == told
