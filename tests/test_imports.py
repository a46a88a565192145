"""Tests of what the modules of the product import."""

import ast
import collections
import graphlib
import pathlib
import unittest

SOURCE_DIR = pathlib.Path(__file__).parent.parent / "src"
# What two modules have to agree on.
SHARED_CONSTANTS = (
    "ENGINE_FILL",
    "LINGERING_CLOSE_S",
    "MAX_TIERS",
    "MISDIRECTED_STATUS",
    "UNAVAILABLE_STATUS",
)
# Packages that use the decisions under load, or that do input and output.
OUTSIDE_LOAD = (
    "peridotbend.adapters",
    "peridotbend.edge",
    "peridotbend.platform",
)


def list_imports(tree: ast.Module) -> set[str]:
    """Returns the modules that a module names, also for types only."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


class ImportTest(unittest.TestCase):
    """The order of the modules."""

    def test_no_module_needs_itself(self) -> None:
        """Guards against modules that can't be understood one by one."""
        names = {
            ".".join(path.relative_to(SOURCE_DIR).with_suffix("").parts): path
            for path in (SOURCE_DIR / "peridotbend").rglob("*.py")
            if path.name != "__init__.py"
        }
        graph = {
            name: list_imports(ast.parse(path.read_text())) & names.keys()
            for name, path in names.items()
        }
        # Raises CycleError, which names the modules.
        graphlib.TopologicalSorter(graph).prepare()

    def test_load_decisions_import_no_outer_package(self) -> None:
        """Guards against decisions that can't be tested without the relay."""
        wrong = sorted(
            f"{path.name}: {name}"
            for path in (SOURCE_DIR / "peridotbend" / "load").rglob("*.py")
            for name in list_imports(ast.parse(path.read_text()))
            if f"{name}.".startswith(tuple(f"{o}." for o in OUTSIDE_LOAD))
        )
        assert not wrong, wrong

    def test_shared_constants_stand_once(self) -> None:
        """Guards against a limit that is changed in one of two places."""
        counts: collections.Counter[str] = collections.Counter()
        for path in (SOURCE_DIR / "peridotbend").rglob("*.py"):
            for statement in ast.parse(path.read_text()).body:
                if isinstance(statement, ast.Assign):
                    counts.update(map(ast.unparse, statement.targets))
        twice = [name for name in SHARED_CONSTANTS if counts[name] != 1]
        assert not twice, twice
