"""Tests of the documentation pages: shown commands, settings and links."""

import os
import re
import shlex
import subprocess
import sys
from pathlib import Path

import pytest

from peridotspoke.programs.reference import format_reference
from tests.processes import ProgramProcess

ROOT = Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
START_EVENTS = {"entry": "entry-started", "control": "control-started"}
COMMAND_TIMEOUT = 60  # seconds


def _list_commands(page):
    text = page.read_text(encoding="utf-8")
    blocks = re.findall(r"```console\n(.*?)```", text, flags=re.DOTALL)
    commands = "\n".join(blocks).replace("\\\n", " ")
    return re.findall(r"^\$ (.+)$", commands, flags=re.MULTILINE)


def _run_command(command, platform):
    """Run a command of a page against a platform.

    Programs that run until they are stopped are stopped once they have logged
    their start event; their addresses are replaced by free ports.

    Parameters
    ----------
    command : str
        Command line; a comment such as ``# status 3`` gives the expected exit
        status, which is 0 otherwise.
    platform : str
        URL of the platform.

    Returns
    -------
    tuple of (int, int, str or list of str)
        The exit status, the expected exit status and the output.
    """
    command, _, comment = command.partition("#")
    words = shlex.split(command)
    program = words[0].removeprefix("peridotspoke-")
    expected = int((re.search(r"status (\d+)", comment) or [0, 0])[1])
    if program in START_EVENTS and "--help" not in words:
        flags = dict(word.removeprefix("--").split("=", 1) for word in words[1:])
        flags |= dict.fromkeys(flags.keys() & {"listen", "admin", "peer-listen"})
        flags = {name: value or "127.0.0.1:0" for name, value in flags.items()}
        process = ProgramProcess(program, **flags, platform=platform)
        try:
            process.wait_for_event(START_EVENTS[program])
            process.terminate()
            return process.wait(), expected, process.lines
        finally:
            process.close()
    script = f"from peridotspoke.programs.{program} import main; main()"
    completed = subprocess.run(
        [sys.executable, "-c", script, *words[1:]],
        cwd=ROOT,
        env={**os.environ, "PERIDOTSPOKE_PLATFORM": platform},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT,
        check=False,
    )
    return completed.returncode, expected, completed.stdout + completed.stderr


@pytest.mark.parametrize(
    "page", [page for page in PAGES if _list_commands(page)], ids=lambda page: page.name
)
def test_commands_on_page_exit_with_expected_status(page):
    standin = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    try:
        platform = "http://" + standin.wait_for_event("standin-started")["listen"]
        for command in _list_commands(page):
            status, expected, output = _run_command(command, platform)
            assert status == expected, f"{command}: {output}"
    finally:
        standin.close()


def test_settings_page_matches_the_generated_reference():
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == format_reference(), (
        "run: python -m peridotspoke.programs.reference > docs/SETTINGS.md"
    )


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page):
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", text):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
