"""Imports point in one direction, as docs/DESIGN.md says."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "peridotspoke"
ROOT_MODULES = {path.stem for path in PACKAGE.glob("*.py")}
ALLOWED = {
    "workloads": {"workloads", "decoding", "exceptions"},
    "store": {"store", *ROOT_MODULES},
    "nodes": {"nodes", "workloads", "store", *ROOT_MODULES},
    "callers": {"callers", *ROOT_MODULES},
    "platform": {"platform", "callers", "nodes", "workloads", "store", *ROOT_MODULES},
}


def list_imported(pattern):
    """Return the parts of the package that the modules of a pattern import."""
    imported = set()
    for path in PACKAGE.glob(pattern):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            imported |= {
                name.split(".")[1] for name in names if name.startswith("peridotspoke.")
            }
    return imported


@pytest.mark.parametrize("folder", sorted(ALLOWED))
def test_a_folder_imports_only_what_lies_below_it(folder):
    assert list_imported(f"{folder}/*.py") <= ALLOWED[folder]


def test_the_decoding_that_decisions_use_imports_nothing_but_errors():
    # Guards against input and output that decisions would import by way of it.
    assert list_imported("decoding.py") == {"exceptions"}
