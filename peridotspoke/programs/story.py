"""Prints what the logs of several nodes say of one request, in the order of time."""

import re
import sys
from pathlib import Path

from peridotspoke.exceptions import SettingsError
from peridotspoke.programs.running import run_commands

__all__ = ["collect_story", "main"]

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
RELATED = frozenset(
    {
        "executor-unreachable",
        "executor-reachable",
        "executor-reborn",
        "executor-withdrawn",
        "leases-expired",
        "ownership-gained",
        "ownership-lost",
        "store-lost",
        "store-regained",
        "fenced",
    }
)


def parse_line(line):
    """Return the pairs of a line of the form key=value as a dict.

    Examples
    --------
    >>> parse_line('time=1 event=run-stopping reason="job ended"')
    {'time': '1', 'event': 'run-stopping', 'reason': 'job ended'}
    """
    return {key: value.strip('"') for key, value in PAIR.findall(line)}


def collect_story(lines, request_id):
    """Return the lines that tell of a request, sorted by their time.

    Lines of other events are added where they tell of an executor that ran one of the
    request's tasks, of the pool that it belongs to, or of the store, between the first
    and the last line of the request.

    Parameters
    ----------
    lines : iterable of str
        Of the logs of any number of nodes.
    request_id : str
        The job's identity.
    """
    parsed = [(parse_line(line), line.rstrip("\n")) for line in lines]
    own = [(pairs, line) for pairs, line in parsed if pairs.get("job") == request_id]
    if not own:
        return []
    times = sorted(pairs.get("time", "") for pairs, _ in own)
    executors = {pairs["executor"] for pairs, _ in own if "executor" in pairs}
    pools = {pairs["pool"] for pairs, _ in own if "pool" in pairs}
    related = [
        (pairs, line)
        for pairs, line in parsed
        if pairs.get("event") in RELATED
        and times[0] <= pairs.get("time", "") <= times[-1]
        and _is_related(pairs, executors, pools)
    ]
    story = sorted(own + related, key=lambda item: item[0].get("time", ""))
    return [line for _, line in story]


def _is_related(pairs, executors, pools):
    if "executor" in pairs:
        return pairs["executor"] in executors
    if "unit" in pairs:
        return pairs["unit"] in pools
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
    story = collect_story(lines, str(request_id))
    if not story:
        print(f"no line of {len(files)} files names {request_id}", file=sys.stderr)
        sys.exit(1)
    print("\n".join(story))


def main():
    """Run the command line."""
    run_commands("peridotspoke-story", show_story)
