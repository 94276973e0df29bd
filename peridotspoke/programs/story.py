"""peridotspoke-story: prints the log lines about one request from several nodes."""

import re
import sys
from pathlib import Path

from peridotspoke.exceptions import SettingsError
from peridotspoke.programs.running import run_commands

__all__ = ["collect_story", "main"]

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
RELATED_EVENTS = frozenset(
    {
        "executor-listed",
        "executor-unlisted",
        "executor-unreachable",
        "executor-reachable",
        "executor-reborn",
        "executor-replaced",
        "executor-withdrawn",
        "entry-lapsed",
        "incarnation-ignored",
        "ends-missing",
        "leases-expired",
        "ownership-gained",
        "ownership-lost",
        "store-lost",
        "store-regained",
        "task-waiting",
        "quota-waiting",
        "quota-changed",
        "fenced",
    }
)
LEFT_OUT = "log-lines-left-out"


def parse_line(line):
    """Return the ``key=value`` pairs of a log line as a dict of str to str.

    Examples
    --------
    >>> parse_line('time=1 event=run-stopping reason="job ended"')
    {'time': '1', 'event': 'run-stopping', 'reason': 'job ended'}
    """
    return {key: value.strip('"') for key, value in PAIR_PATTERN.findall(line)}


def collect_story(lines, request_id):
    """Return the log lines about a request, sorted by time.

    Between the first and the last line that name the request, the events in
    `RELATED_EVENTS` are included as well if they concern an executor or a pool that
    these lines name, or the store, or the quota of the job's workspace there. So are
    the notices of lines that were left out of the logs of the nodes that name it, also
    just before and after.

    Parameters
    ----------
    lines : iterable of str
        Lines of the logs of any number of nodes.
    request_id : str
        Identifier of the job.

    Returns
    -------
    list of str
        Empty if no line names the request.
    """
    parsed = [(parse_line(line), line.rstrip("\n")) for line in lines]
    named = [(pairs, line) for pairs, line in parsed if pairs.get("job") == request_id]
    if not named:
        return []
    times = sorted(pairs.get("time", "") for pairs, _ in named)
    executors = {pairs["executor"] for pairs, _ in named if "executor" in pairs}
    pools = {pairs["pool"] for pairs, _ in named if "pool" in pairs}
    workspaces = {pairs["workspace"] for pairs, _ in named if "workspace" in pairs}
    instances = {pairs.get("instance") for pairs, _ in named}
    related = [
        (pairs, line)
        for pairs, line in parsed
        if pairs.get("event") in RELATED_EVENTS
        and pairs.get("job") != request_id
        and times[0] <= pairs.get("time", "") <= times[-1]
        and _is_related(pairs, executors, pools, workspaces)
    ]
    related += [
        (pairs, line)
        for pairs, line in parsed
        if pairs.get("event") == LEFT_OUT
        and pairs.get("instance") in instances
        and pairs.get("since", "") <= times[-1]
        and pairs.get("time", "") >= times[0]
    ]
    selected = sorted(named + related, key=lambda item: item[0].get("time", ""))
    return [line for _, line in selected]


def _is_related(pairs, executors, pools, workspaces):
    if "executor" in pairs:
        return pairs["executor"] in executors
    if "unit" in pairs:
        return pairs["unit"] in pools
    if pairs["event"].startswith("quota-"):
        is_own = pairs.get("workspace") in workspaces
        return is_own and pairs.get("pool") in pools
    if pairs["event"] == "task-waiting":
        return pairs.get("pool") in pools
    return pairs["event"].startswith("store-")


def show_story(request_id, *files):
    """Print what the logs say of one request.

    REQUEST_ID is the job's identity; FILES are logs of nodes.
    """
    lines = []
    for name in files:
        try:
            lines += Path(name).read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(str(error), step="read logs", peer=name) from error
    selected = collect_story(lines, str(request_id))
    if not selected:
        print(f"no line of {len(files)} files names {request_id}", file=sys.stderr)
        sys.exit(1)
    print("\n".join(selected))


def main():
    """Run the command line."""
    run_commands("peridotspoke-story", show_story)


if __name__ == "__main__":
    main()
