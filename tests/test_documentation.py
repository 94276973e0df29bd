"""The pages: commands that they show run, and the settings' page is up to date."""

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
LONG_LIVED = {"entry": "entry-started", "control": "control-started"}
COMMAND_LIMIT = 60  # seconds


def _list_commands(page):
    text = page.read_text(encoding="utf-8")
    blocks = re.findall(r"```console\n(.*?)```", text, flags=re.DOTALL)
    joined = "\n".join(blocks).replace("\\\n", " ")
    return re.findall(r"^\$ (.+)$", joined, flags=re.MULTILINE)


def _run_command(command, platform):
    """Run one shown command; its expected exit status may stand in a comment."""
    command, _, remark = command.partition("#")
    words = shlex.split(command)
    program = words[0].removeprefix("peridotspoke-")
    expected = int((re.search(r"status (\d+)", remark) or [0, 0])[1])
    if program in LONG_LIVED and "--help" not in words:
        flags = dict(word.removeprefix("--").split("=", 1) for word in words[1:])
        flags |= dict.fromkeys(flags.keys() & {"listen", "admin", "peer-listen"})
        flags = {name: value or "127.0.0.1:0" for name, value in flags.items()}
        process = ProgramProcess(program, **flags, platform=platform)
        try:
            process.wait_for_event(LONG_LIVED[program])
            process.ask_to_stop()
            return process.wait(), expected, process.lines
        finally:
            process.close()
    script = f"from peridotspoke.programs.{program} import main; main()"
    finished = subprocess.run(
        [sys.executable, "-c", script, *words[1:]],
        cwd=ROOT,
        env={**os.environ, "PERIDOTSPOKE_PLATFORM": platform},
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT,
        check=False,
    )
    return finished.returncode, expected, finished.stdout + finished.stderr


@pytest.mark.parametrize(
    "page", [page for page in PAGES if _list_commands(page)], ids=lambda page: page.name
)
def test_each_command_that_a_page_shows_runs(page):
    stand_in = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    try:
        platform = "http://" + stand_in.wait_for_event("standin-started")["listen"]
        for command in _list_commands(page):
            status, expected, shown = _run_command(command, platform)
            assert status == expected, f"{command}: {shown}"
    finally:
        stand_in.close()


def test_the_settings_page_is_up_to_date():
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == format_reference(), (
        "run: python -m peridotspoke.programs.reference > docs/SETTINGS.md"
    )


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_lead_somewhere(page):
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", text):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
