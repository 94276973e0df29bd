"""Runs the benchmarks, fits lines and draws the plots of docs/CAPACITY.md.

Run: ``python -m benchmarks.capacity [--output=DIRECTORY] [--lines=DIRECTORY]``. Each
benchmark prints lines of key=value pairs; a `Probe` selects the lines and the value to
fit. The table of all slopes goes to standard output, and one plot for each probe to
the output directory.
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
    """A quantity that is fitted against one size of the fleet.

    `value` and `variable` are the keys of the quantity and of the size in a
    benchmark's lines. A line is used if it has all pairs of `select`. `target_size`
    is the size to which the fitted line is extrapolated.
    """

    name: str
    benchmark: str
    value: str
    unit: str
    variable: str
    target_size: float
    select: dict[str, str] = field(default_factory=dict)


LIVE = "benchmarks.live"
PEERS = "benchmarks.peers"
CONTROLLER = "benchmarks.controller"
JOBS = "benchmarks.jobs round"
WORKERS = "benchmarks.workers"
# Sizes to which the fitted lines are extrapolated.
INSTANCES = 1100
MEMBERS = 24
POOL_WORKERS = 6
OWNED_WORKERS = 92
# (end of the probe's name, key, unit)
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
    """Run a benchmark and return the key=value pairs of each line as a dictionary.

    If `directory` isn't empty, the output is stored there, and the output of an
    earlier run is read instead of running the benchmark again.

    Raises
    ------
    subprocess.CalledProcessError
        If the benchmark fails.
    subprocess.TimeoutExpired
        If it takes longer than `BENCHMARK_LIMIT`.
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
    r"""Return the key=value pairs of each line that has any, as dictionaries.

    Examples
    --------
    >>> parse_lines("program=entry instances=40\n\nnothing here")
    [{'program': 'entry', 'instances': '40'}]
    """
    lines = [line for line in text.splitlines() if "=" in line]
    return [dict(re.findall(r"(\S+?)=(\S+)", line)) for line in lines]


def fit_probe(probe, lines):
    """Return the `Slope` of a probe over the lines of its benchmark.

    Raises
    ------
    ValueError
        If the lines have fewer than `FEWEST_SIZES` different sizes.
    """
    matching = [
        line
        for line in lines
        if probe.variable in line
        and probe.value in line
        and all(line.get(key) == value for key, value in probe.select.items())
    ]
    sizes = [float(line[probe.variable]) for line in matching]
    values = [float(line[probe.value]) for line in matching]
    if len(set(sizes)) < FEWEST_SIZES:
        raise ValueError(f"{probe.name}: expected {FEWEST_SIZES} sizes, found {sizes}")
    return fit_slope(probe.name, probe.unit, probe.variable, sizes, values)


def draw_slope(slope, target_size, path):
    """Plot the measurements and the fitted line, up to `target_size`, into a file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(5, 3.2), layout="constrained")
    axes.plot(slope.sizes, slope.values, "o", label="measured")
    line_sizes = [0.0, max(target_size, *slope.sizes)]
    axes.plot(
        line_sizes, [slope.extrapolate(size) for size in line_sizes], "-", label="fit"
    )
    axes.axvline(target_size, linestyle=":", color="grey", label="the letter's size")
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
        Directory for the benchmarks' output, which later runs read again.
        Empty stores nothing.
    only : str, optional
        Prefix of the names of the probes to run. Empty runs all.
    """
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    if lines:
        Path(lines).mkdir(parents=True, exist_ok=True)
    probes = [probe for probe in PROBES if probe.name.startswith(only)]
    lines_by_benchmark = {}
    rows = []
    for probe in probes:
        if probe.benchmark not in lines_by_benchmark:
            lines_by_benchmark[probe.benchmark] = run_benchmark(probe.benchmark, lines)
        slope = fit_probe(probe, lines_by_benchmark[probe.benchmark])
        draw_slope(slope, probe.target_size, directory / f"{probe.name}.png")
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
                "at the letter's size": f"{slope.extrapolate(probe.target_size):.4g}",
            }
        )
    print(tabulate(rows, headers="keys", tablefmt="github", disable_numparse=True))


if __name__ == "__main__":
    fire.Fire(run_probes)
