"""Checks that modules and packages of cranebank have no import cycles, not even lazy or type-checking ones."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Mapping
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "cranebank"

Graph = Mapping[str, frozenset[str]]


def module_name(path: Path) -> str:
    """Return the dotted module name of a source file."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported(tree: ast.AST, modules: Iterable[str]) -> frozenset[str]:
    """Return the modules of the package that are imported anywhere in a file."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            assert node.level == 0, "expected absolute imports"
            names |= {f"{node.module}.{alias.name}" for alias in node.names} | {node.module}
    return frozenset(names) & frozenset(modules) - {PACKAGE}


def module_graph(sources: Mapping[str, str]) -> Graph:
    """Map each module to the modules that it imports."""
    return {name: imported(ast.parse(source), sources) - {name} for name, source in sources.items()}


def package_of(module: str, packages: Iterable[str]) -> str:
    """Return the top-level subpackage of a module, or the module itself if it is in none."""
    return next((package for package in packages if module.startswith(f"{package}.")), module)


def package_graph(modules: Graph, packages: Iterable[str]) -> Graph:
    """Map each package to the packages that it imports."""
    names = tuple(packages)
    graph: dict[str, set[str]] = {}
    for module, others in modules.items():
        own = package_of(module, names)
        graph.setdefault(own, set()).update(package_of(other, names) for other in others)
    return {name: frozenset(others - {name}) for name, others in graph.items()}


def reachable(graph: Graph, start: str) -> set[str]:
    """Return all nodes that can be reached from a node."""
    visited: set[str] = set()
    waiting = [start]
    while waiting:
        new = graph.get(waiting.pop(), frozenset()) - visited
        visited |= new
        waiting += new
    return visited


def cycles(graph: Graph) -> set[frozenset[str]]:
    """Return the groups of nodes that reach each other."""
    reached = {name: reachable(graph, name) for name in graph}
    return {
        frozenset(other for other in reached_nodes if name in reached[other])
        for name, reached_nodes in reached.items()
        if name in reached_nodes
    }


def sources() -> dict[str, str]:
    """Return the source text of each module."""
    return {module_name(path): path.read_text(encoding="utf-8") for path in (ROOT / PACKAGE).rglob("*.py")}


def test_no_module_imports_itself_by_way_of_others() -> None:
    assert cycles(module_graph(sources())) == set()


def test_no_package_imports_itself_by_way_of_others() -> None:
    packages = {module_name(path) for path in (ROOT / PACKAGE).glob("*/__init__.py")}
    assert len(packages) > 10
    assert cycles(package_graph(module_graph(sources()), packages)) == set()


def test_cycles_are_found_in_each_form_of_import() -> None:
    planted = {
        "cranebank.a.x": "from cranebank.b import y",
        "cranebank.b.y": "def f():\n    import cranebank.c.z",
        "cranebank.c.z": "if TYPE_CHECKING:\n    from cranebank.a.x import X",
        "cranebank.c.w": "from cranebank.c.z import Z",
    }
    graph = module_graph(planted)
    assert cycles(graph) == {frozenset({"cranebank.a.x", "cranebank.b.y", "cranebank.c.z"})}
    packages = ("cranebank.a", "cranebank.b", "cranebank.c")
    assert cycles(package_graph(graph, packages)) == {frozenset(packages)}
