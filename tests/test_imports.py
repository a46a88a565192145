"""Tests of what the modules of the product import."""

import ast
import graphlib
import pathlib
import unittest

SOURCE_DIR = pathlib.Path(__file__).parent.parent / "src"


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
