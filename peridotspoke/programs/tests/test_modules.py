"""The programs run as modules, as on a machine without the installed commands."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[1]
TIME_LIMIT = 60.0  # seconds for a program that only prints


def list_mains():
    """Return the names of the modules of programs that define ``main``."""
    trees = {path.stem: ast.parse(path.read_text()) for path in FOLDER.glob("*.py")}
    return sorted(
        name
        for name, tree in trees.items()
        if any(getattr(item, "name", "") == "main" for item in tree.body)
    )


def run_module(name, *arguments):
    return subprocess.run(
        [sys.executable, "-m", f"peridotspoke.programs.{name}", *arguments],
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT,
        cwd=FOLDER.parents[1],
    )


@pytest.mark.parametrize("name", list_mains())
def test_a_program_run_as_a_module_does_something(name):
    """A module without a guard prints nothing and exits with 0, whatever is asked."""
    finished = run_module(name, "--no-such-flag=1")
    assert finished.returncode != 0
    assert finished.stdout + finished.stderr


def test_the_story_of_a_job_is_printed_by_the_module(tmp_path):
    """An operator without the installed command still reads the logs."""
    line = "time=02 event=job-submit job=5c0e7a21d94b36f8 outcome=Accepted"
    log = tmp_path / "node.log"
    log.write_text(line + "\n")
    finished = run_module("story", "5c0e7a21d94b36f8", str(log))
    assert (finished.returncode, finished.stdout) == (0, line + "\n")
