"""Command lines: help, settings and exit statuses."""

import importlib
import sys

from pytest_bdd import given, parsers, scenarios, then, when

scenarios("command_lines.feature")


@given(parsers.re('the variable "(?P<name>[A-Z_]+)" is "(?P<value>.*)"'))
def set_variable(monkeypatch, name, value):
    monkeypatch.setenv(name, value)


@when(
    parsers.re('"(?P<program>.+)" is run with "(?P<arguments>.*)"'),
    target_fixture="finished",
)
def run_main(monkeypatch, capsys, program, arguments):
    module = importlib.import_module(f"peridotspoke.programs.{program}")
    monkeypatch.setattr(sys, "argv", [program, *arguments.split()])
    try:
        module.main()
        status = 0
    except SystemExit as error:
        status = error.code
    shown = capsys.readouterr()
    return status, shown.out + shown.err


@then(
    parsers.re(
        'the exit status is (?P<status>[0-9]+) and the output contains "(?P<text>.*)"'
    )
)
def check_finished(finished, status, text):
    assert finished[0] == int(status), finished[1]
    assert text in finished[1]


@then(parsers.re('the output contains "(?P<text>.*)"'))
def check_output(finished, text):
    assert text in finished[1]
