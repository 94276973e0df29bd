"""Slopes for docs/CAPACITY.md: runs the benchmarks, fits lines, draws plots.

Run: ``python -m benchmarks.capacity [--output=DIRECTORY] [--lines=DIRECTORY]``. Each
benchmark prints lines of key=value pairs; a probe picks the lines and the pair that it
fits. One table of all slopes goes to standard output, and one plot for each probe to
the directory.
"""

import re
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import fire
from tabulate import tabulate

from benchmarks.slopes import fit_slope

__all__ = ["Probe", "run_probes"]

BENCHMARK_LIMIT = 1200  # seconds
FEWEST_SIZES = 3


@dataclass(frozen=True, slots=True)
class Probe:
    """One quantity against one size.

    `select` holds the pairs that a line must have; `letter` is the size to which
    the line is extrapolated.
    """

    name: str
    benchmark: str
    value: str
    unit: str
    variable: str
    letter: float
    select: dict[str, str] = field(default_factory=dict)


LIVE = "benchmarks.live"
PEERS = "benchmarks.peers"
CONTROLLER = "benchmarks.controller"
JOBS = "benchmarks.jobs round"
WORKERS = "benchmarks.workers"
INSTANCES = 1100
MEMBERS = 24
POOL_WORKERS = 6
OWNED_WORKERS = 92
LIVE_PAIRS = (
    ("memory", "memory_mib", "MiB"),
    ("processor", "core_share", "core"),
    ("bytes", "bytes_rate", "B/s"),
    ("start-bytes", "start_bytes", "B"),
)
PROBES = (
    *(
        Probe(
            f"{program}-{name}", LIVE, value, unit, "instances", INSTANCES,
            {"program": program},
        )
        for program in ("entry", "control")
        for name, value, unit in LIVE_PAIRS
    ),
    Probe("peers-bytes", PEERS, "bytes_per_second", "B/s", "members", MEMBERS),
    Probe("peers-processor", PEERS, "core_share", "core", "members", MEMBERS),
    Probe("round-processor", CONTROLLER, "round_ms", "ms", "instances", INSTANCES),
    Probe("round-memory", CONTROLLER, "memory_kib", "KiB", "instances", INSTANCES),
    Probe("workers-bytes", WORKERS, "bytes_rate", "B/s", "workers", OWNED_WORKERS),
    Probe("workers-processor", WORKERS, "core_share", "core", "workers", OWNED_WORKERS),
    Probe("placing-processor", JOBS, "median_ms", "ms", "workers", POOL_WORKERS),
)  # fmt: skip


def run_benchmark(module, directory):
    """Return the pairs of each line that a benchmark prints.

    Lines that an earlier run has left in `directory` are used again.
    """
    path = Path(
        directory, module.replace(" ", ".").removeprefix("benchmarks.") + ".txt"
    )
    if directory and path.exists():
        return parse_lines(path.read_text(encoding="utf-8"))
    finished = subprocess.run(
        [sys.executable, "-m", *module.split()],
        stdout=subprocess.PIPE,
        text=True,
        timeout=BENCHMARK_LIMIT,
        check=True,
    )
    if directory:
        path.write_text(finished.stdout, encoding="utf-8")
    return parse_lines(finished.stdout)


def parse_lines(text):
    r"""Return the key=value pairs of each line that has any.

    Examples
    --------
    >>> parse_lines("program=entry instances=40\n\nnothing here")
    [{'program': 'entry', 'instances': '40'}]
    """
    lines = [line for line in text.splitlines() if "=" in line]
    return [dict(re.findall(r"(\S+?)=(\S+)", line)) for line in lines]


def fit_probe(probe, lines):
    """Return the `Slope` of a probe over the lines of its benchmark."""
    chosen = [
        line
        for line in lines
        if probe.variable in line
        and probe.value in line
        and all(line.get(key) == value for key, value in probe.select.items())
    ]
    sizes = [float(line[probe.variable]) for line in chosen]
    values = [float(line[probe.value]) for line in chosen]
    if len(set(sizes)) < FEWEST_SIZES:
        raise ValueError(f"{probe.name}: expected {FEWEST_SIZES} sizes, found {sizes}")
    return fit_slope(probe.name, probe.unit, probe.variable, sizes, values)


def draw_slope(slope, letter, path):
    """Draw measurements and line up to the size `letter` into a file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(5, 3.2), layout="constrained")
    axes.plot(slope.sizes, slope.values, "o", label="measured")
    ends = [0.0, max(letter, *slope.sizes)]
    axes.plot(ends, [slope.extrapolate(size) for size in ends], "-", label="fit")
    axes.axvline(letter, linestyle=":", color="grey", label="the letter's size")
    axes.set_xlabel(slope.variable)
    axes.set_ylabel(f"{slope.name} ({slope.unit})")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=80, metadata={"Software": None})
    plt.close(figure)


def run_probes(output="docs/capacity", lines="", only=""):
    """Run the benchmarks of all probes and print the table of slopes.

    Parameters
    ----------
    output : str, optional
        Directory of the plots.
    lines : str, optional
        Directory in which the benchmarks' lines are kept and found again.
    only : str, optional
        Only the probes whose names begin so.
    """
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    if lines:
        Path(lines).mkdir(parents=True, exist_ok=True)
    probes = [probe for probe in PROBES if probe.name.startswith(only)]
    found = {}
    rows = []
    for probe in probes:
        if probe.benchmark not in found:
            found[probe.benchmark] = run_benchmark(probe.benchmark, lines)
        slope = fit_probe(probe, found[probe.benchmark])
        draw_slope(slope, probe.letter, directory / f"{probe.name}.png")
        rows.append(
            {
                "probe": probe.name,
                "by": probe.variable,
                "sizes": ", ".join(f"{size:g}" for size in slope.sizes),
                "measured": ", ".join(f"{value:.4g}" for value in slope.values),
                "slope": f"{slope.slope:.3g} {probe.unit}",
                "fixed": f"{slope.intercept:.3g} {probe.unit}",
                "fit": f"{slope.fit:.3f}",
                "spread": f"{slope.spread:.1%}",
                "at the letter's size": f"{slope.extrapolate(probe.letter):.4g}",
            }
        )
    print(tabulate(rows, headers="keys", tablefmt="github", disable_numparse=True))


if __name__ == "__main__":
    fire.Fire(run_probes)
