"""Checks that a layer or a package of coordination imports none above it.

Only the command line imports the layer that talks to the users' platform.
"""

import ast
import collections
import graphlib
import importlib
import importlib.util
import pathlib

import pytest

from tests.lint import sources

# From the lowest layer to the highest.
_LAYERS = (
    "transport",
    "protocol",
    "state",
    "coordination",
    "roles",
    "platform",
    "cli",
)
# The packages of coordination, from the lowest to the highest.
_PACKAGES = (
    "agreement",
    "leadership",
    "discovery",
    "configuration",
    "request_limits",
    "requests",
    "runs",
    "learning",
    "placement",
    "deciding",
    "plans",
    "job_locality",
    "job_placing",
    "job_learning",
    "job_queueing",
    "job_admission",
    "jobs",
    "worker_incarnations",
    "cpu_throttling",
    "held_runs",
    "job_agent",
)
_MODULES_PER_FOLDER_LIMIT = 20
_PACKAGE_DEPTH = 2
_SHARED = frozenset(
    {"errors", "settings", "setting_parsers", "setting_sources"}
)
_FORBIDDEN_MODULES = frozenset(
    {"subprocess", "multiprocessing", "pty", "asyncio"}
)
_FORBIDDEN_FUNCTIONS = frozenset(
    {"os.fork", "os.forkpty", "os.system", "os.popen", "os.posix_spawn"}
)


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.relative_name
)
def test_a_layer_imports_no_layer_above_it(path: pathlib.Path) -> None:
    layer = path.relative_to(sources.PACKAGE).parts[0]
    if layer not in _LAYERS:
        return
    allowed = {*_LAYERS[: _LAYERS.index(layer) + 1], *_SHARED}
    imported_layers = [
        name.split(".")[1]
        for name in sources.imported_names(path)
        if name.startswith("marigoldsill.")
    ]
    assert set(imported_layers) <= allowed, (
        f"{layer} may import {sorted(allowed)}"
    )


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.relative_name
)
def test_a_package_imports_no_package_above_it(path: pathlib.Path) -> None:
    own = _package_of(path)
    if own is None:
        return
    allowed = set(_PACKAGES[: _PACKAGES.index(own) + 1])
    assert {package for package, _ in _imported_modules(path)} <= allowed


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.relative_name
)
def test_only_public_modules_of_a_package_are_imported(
    path: pathlib.Path,
) -> None:
    own = _package_of(path)
    private_imports = [
        f"{package}.{module}"
        for package, module in _imported_modules(path)
        if package != own and module not in _public_modules(package)
    ]
    assert private_imports == []


def test_every_module_of_coordination_is_in_a_package() -> None:
    folder = sources.PACKAGE / "coordination"
    assert [p.name for p in folder.glob("*.py")] == ["__init__.py"]
    assert {p.name for p in folder.iterdir() if _is_package(p)} == set(
        _PACKAGES
    )


def test_imports_have_no_cycles() -> None:
    """Uses graphlib, whose error names the modules of the cycle."""
    names = {_module_name(path): path for path in sources.package_files()}
    graph = {
        name: [
            imported
            for imported in sources.imported_names(path)
            if imported in names
        ]
        for name, path in names.items()
        if path.name != "__init__.py"
    }
    graphlib.TopologicalSorter(graph).prepare()


def _module_name(path: pathlib.Path) -> str:
    parts = path.relative_to(sources.ROOT).with_suffix("").parts
    return ".".join(parts)


def test_no_folder_has_too_many_modules() -> None:
    counts = collections.Counter(p.parent for p in sources.package_files())
    large_folders = {
        p for p, count in counts.items() if count > _MODULES_PER_FOLDER_LIMIT
    }
    assert large_folders == set()


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.relative_name
)
def test_modules_are_imported_rather_than_names(path: pathlib.Path) -> None:
    names = [
        name
        for name in sources.imported_names(path)
        if name.startswith(("marigoldsill.", "standins.", "thrift."))
    ]
    assert [name for name in names if not _is_module(name)] == []


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.relative_name
)
def test_no_module_can_start_a_process(path: pathlib.Path) -> None:
    roots = {name.split(".")[0] for name in sources.imported_names(path)}
    called = {
        ast.unparse(node.func)
        for node in ast.walk(sources.parse(path))
        if isinstance(node, ast.Call)
    }
    assert roots & _FORBIDDEN_MODULES == set()
    assert called & _FORBIDDEN_FUNCTIONS == set()
    assert not [name for name in called if name.startswith("os.exec")]


def _package_of(path: pathlib.Path) -> str | None:
    parts = path.relative_to(sources.PACKAGE).parts
    is_in_package = parts[0] == "coordination" and len(parts) > _PACKAGE_DEPTH
    return parts[1] if is_in_package else None


def _imported_modules(path: pathlib.Path) -> list[tuple[str, str]]:
    """Returns the packages and modules of coordination that are imported."""
    prefix = "marigoldsill.coordination."
    names = [n for n in sources.imported_names(path) if n.startswith(prefix)]
    return [tuple(n.removeprefix(prefix).split(".")[:2]) for n in names]


def _public_modules(package: str) -> list[str]:
    imported = importlib.import_module(f"marigoldsill.coordination.{package}")
    return imported.__all__


def _is_package(path: pathlib.Path) -> bool:
    return (path / "__init__.py").is_file()


def _is_module(name: str) -> bool:
    return importlib.util.find_spec(name) is not None
