"""Undoes guards in copies of the sources, and runs the cluster model.

Guards are undone one at a time, or together with those that double them.

Run as `python -m build_tools.undo_guards --folder FOLDER [GUARD ...]`. Prints for each
guard whether the model finds that it is undone, after how many examples and how long,
what it saw, and a sequence that shows it (the whole output is kept beside the copy).
"""

import argparse
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
import time

from build_tools import guards as guards_module

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCES = ("marigoldsill", "tests", "pyproject.toml")
_GENERATED = "marigoldsill/protocol/generated"
_TEST = "tests/coordination/jobs/test_cluster_model.py"
_FIRST_FAILURE = re.compile(r"(\d+) examples until the first failure")
_VIOLATION = re.compile(r"first failure: (.*)")
_STEP = re.compile(r"state\.(\w+\(.*\))")
# Number of steps up to which a table has the whole sequence.
_SHORT_SEQUENCE = 12
# Steps that tell nothing.
_OMITTED = ("starts_were_allowed()", "teardown()")


class GuardError(Exception):
    """A guard cannot be undone, or the model cannot be run without it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What the model found without a guard.

    Attributes:
        name: The guard.
        is_found: Whether the model failed.
        examples_count: How many examples it needed, or None.
        duration_s: How long it took.
        violation: What was wrong, or empty.
        sequence: The steps that led to it.
    """

    name: str
    is_found: bool
    examples_count: int | None
    duration_s: float
    violation: str
    sequence: Sequence[str]

    def row(self) -> str:
        """Returns the row of a table in Markdown."""
        found = "not found"
        if self.is_found:
            found = f"found, example {self.examples_count}"
        guard = guards_module.GUARDS[self.name]
        undone = " and ".join((self.name, *guard.doubled_by))
        steps = f"{len(self.sequence)} steps"
        if len(self.sequence) <= _SHORT_SEQUENCE:
            steps = "; ".join(self.sequence)
        return (
            f"| {undone} | {guard.protects} | {found} | "
            f"{self.duration_s:.0f} s | {self.violation} | {steps} |"
        )


def make_copy(folder: pathlib.Path, root: pathlib.Path = _ROOT) -> None:
    """Copies the sources with what was generated for them.

    Raises:
        GuardError: The folder exists, or the sources lack their environment.
    """
    check_environment(root)
    if folder.exists():
        raise GuardError(f"{folder} exists; expected a new folder")
    folder.mkdir(parents=True)
    for name in _SOURCES:
        source = root / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)


def check_environment(root: pathlib.Path) -> None:
    """Checks that sources can be run.

    Raises:
        GuardError: Something that is not in the repository is missing.
    """
    if not any((root / _GENERATED).glob("*.py")):
        raise GuardError(
            f"{root} lacks its environment: {_GENERATED} has no modules; run "
            "`make install` there first"
        )


def find_guard(name: str) -> guards_module.Guard:
    """Returns a guard.

    Raises:
        GuardError: There is no guard of that name.
    """
    guard = guards_module.GUARDS.get(name)
    if guard is None:
        known = ", ".join(guards_module.GUARDS)
        raise GuardError(f"unknown guard {name!r}; expected one of {known}")
    return guard


def undo(guard: guards_module.Guard, root: pathlib.Path) -> None:
    """Undoes a guard in a copy of the sources.

    Raises:
        GuardError: Its code does not occur exactly once.
    """
    path = root / guard.path
    source = path.read_text()
    count = source.count(guard.code)
    if count != 1:
        raise GuardError(
            f"{guard.path} has the code of the guard {count} times; expected "
            f"once: {guard.code}"
        )
    path.write_text(source.replace(guard.code, guard.undone))


def search(
    name: str,
    folder: pathlib.Path,
    *,
    examples_count: int,
    is_shortest: bool,
) -> Result:
    """Runs the model in a new copy without a guard.

    Args:
        name: The guard.
        folder: The folder for the copy.
        examples_count: How many examples to run.
        is_shortest: Whether to search for the shortest sequence.

    Raises:
        GuardError: The guard cannot be undone, or the model does not run.
    """
    guard = find_guard(name)
    copy = folder / name
    make_copy(copy)
    for each in (guard, *map(find_guard, guard.doubled_by)):
        undo(each, copy)
    environment = os.environ | {
        "PYTHONPATH": str(copy),
        "MODEL_EXAMPLES": str(examples_count),
        "MODEL_SHRINKS": "yes" if is_shortest else "no",
    }
    command = [sys.executable, "-m", "pytest", "-q", "-n", "0"]
    command += ["-p", "no:cacheprovider", "-s", "--timeout=0"]
    command += [f"{_TEST}::{guard.machine}"]
    start_s = time.monotonic()
    run = subprocess.run(
        command, cwd=copy, env=environment, text=True, capture_output=True
    )
    duration_s = time.monotonic() - start_s
    (copy / "output.log").write_text(run.stdout + run.stderr)
    violation = _VIOLATION.search(run.stdout)
    if run.returncode != (1 if violation else 0):
        raise GuardError(
            f"the model did not run without {name}; see {copy}/output.log"
        )
    first = _FIRST_FAILURE.search(run.stdout)
    return Result(
        name,
        is_found=violation is not None,
        examples_count=int(first[1]) if first else None,
        duration_s=duration_s,
        violation=violation[1] if violation else "",
        sequence=list(_steps(run.stdout)),
    )


def _steps(output: str) -> Iterator[str]:
    _, _, last = output.rpartition("Failing test case")
    for match in _STEP.finditer(last):
        if match[1] not in _OMITTED:
            yield match[1]


def main(arguments: Sequence[str] | None = None) -> int:
    """Searches for each guard; returns the exit status."""
    parser = argparse.ArgumentParser(prog="undo_guards")
    parser.add_argument("guards", nargs="*", metavar="GUARD")
    parser.add_argument(
        "--folder", type=pathlib.Path, required=True, help="for the copies"
    )
    parser.add_argument("--examples", type=int, default=1_000)
    parser.add_argument(
        "--shortest",
        action="store_true",
        help="search for the shortest sequence, which takes longer",
    )
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args(arguments)
    names = options.guards or list(guards_module.GUARDS)
    try:
        for name in names:
            find_guard(name)
        check_environment(_ROOT)
    except GuardError as error:
        print(f"undo_guards: {error}", file=sys.stderr)
        return 2
    with futures.ThreadPoolExecutor(options.processes) as pool:
        searches = [
            pool.submit(
                search,
                name,
                options.folder.absolute(),
                examples_count=options.examples,
                is_shortest=options.shortest,
            )
            for name in names
        ]
        return max(map(_print_result, searches))


def _print_result(found: futures.Future) -> int:
    """Prints the result of a search, or why there is none; returns the exit status."""
    try:
        print(found.result().row(), flush=True)
    except GuardError as error:
        print(f"undo_guards: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
