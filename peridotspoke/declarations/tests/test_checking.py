"""Validation of declaration files."""

import tomllib
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.declarations import (
    ConfigurationHead,
    assemble_configuration,
    digest_part,
    read_declarations,
)
from peridotspoke.exceptions import DeclarationError

scenarios("checking.feature")

EXAMPLES = Path(__file__).parents[3] / "examples"
TABLES = {
    "pool": ["instances = 8"],
    "need": ["instances = 5"],
    "budget": ["max_unavailable = 1"],
    "maintenance": ['windows = ["03:00-06:00"]'],
    "requests": ["overflow = true"],
    "jobs": ['classes = ["normal", "may-wait"]'],
}


def write_service(path, table="", line=""):
    """Write a valid service declaration; `line` replaces its key's line in `table`."""
    text = ['service = "lustenau"', ""]
    for name, lines in {
        **TABLES,
        **({table: []} if table not in TABLES else {}),
    }.items():
        key = line.partition("=")[0]
        kept = [
            item for item in lines if name != table or item.partition("=")[0] != key
        ]
        text += [f"[{name}]", *kept, *([line] if name == table else [])]
    path.write_text("\n".join(item for item in text if item != "[]"), encoding="utf-8")


@given("a directory with a valid service and a spare pool", target_fixture="folder")
def make_folder(tmp_path):
    write_service(tmp_path / "lustenau.toml")
    spare = 'service = "common"\n[pool]\nspare = true\n'
    (tmp_path / "common.toml").write_text(spare, encoding="utf-8")
    (tmp_path / "deployment.toml").write_text('deployment = "v"', encoding="utf-8")
    assert len(read_declarations(tmp_path)) == 3
    return tmp_path


@when(parsers.parse("the service's file has {line} in [{table}]"))
def replace_line(folder, line, table):
    write_service(folder / "lustenau.toml", table, line)


@when("the spare pool's file is removed")
def remove_spare(folder):
    (folder / "common.toml").unlink()


@when("the service is declared twice")
def declare_service_twice(folder):
    write_service(folder / "second.toml")


@when("the deployment is declared twice")
def declare_deployment_twice(folder):
    (folder / "second.toml").write_text('deployment = "w"', encoding="utf-8")


@when("the spare pool declares overflow")
def declare_overflow_of_spare(folder):
    with (folder / "common.toml").open("a", encoding="utf-8") as file:
        file.write("[requests]\noverflow = true\n")


@when(parsers.re("a file (?P<fault>is not UTF-8|is not TOML|has neither key)"))
def write_invalid_file(folder, fault):
    texts = {"is not UTF-8": b"\xff", "is not TOML": b"a = = 1"}
    (folder / "bad.toml").write_bytes(texts.get(fault, b"x = 1"))


@when("the deployment's view_bound is 1.0")
def declare_low_view_bound(folder):
    text = 'deployment = "vorarlberg"\nview_bound = 1.0\n'
    (folder / "deployment.toml").write_text(text, encoding="utf-8")


@then(parsers.parse("the fault at {key} reports {found} and {expected}"))
def check_fault(folder, key, found, expected):
    with pytest.raises(DeclarationError) as caught:
        read_declarations(folder)
    lines = caught.value.message.splitlines()
    matching = [line for line in lines if f": {key}" in line]
    assert len(matching) == 1, lines
    place, _, rest = matching[0].partition(f": {key}")
    assert found in rest and expected in rest, rest
    name, _, number = place.rpartition(":")
    assert int(number) >= 1 and Path(name).parent == folder


@then(parsers.parse("{count:d} faults are reported"))
def check_fault_count(folder, count):
    with pytest.raises(DeclarationError) as caught:
        read_declarations(folder)
    assert len(caught.value.message.splitlines()) == count


@then(
    parsers.parse(
        "the example {name} has {services:d} valid services and one spare pool"
    )
)
def check_example(name, services):
    texts = read_declarations(EXAMPLES / name)
    parts = {key: digest_part(text) for key, text in texts.items()}
    head = ConfigurationHead(1, parts)
    by_digest = {digest_part(text): text for text in texts.values()}
    configuration = assemble_configuration(head, by_digest)
    assert len(configuration.services) == services
    assert len(configuration.list_spare_services()) == 1
    assert configuration.deployment.deployment == name
    tables = {"pool", "need", "budget", "maintenance", "requests", "jobs", "quota"}
    for key, text in texts.items():
        if key != "deployment":
            assert tomllib.loads(text).keys() >= tables
