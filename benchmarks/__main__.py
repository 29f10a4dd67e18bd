"""Runs benchmark modules and writes one table.

`python -m benchmarks` runs every module of this package that has `run()`;
`python -m benchmarks placement capacity` runs those two. The table is written
to standard output and to the folder `bench-out`. The exit status is 1 if a value
is past its bound, and 2 if a benchmark raised an error or does not exist.
"""

from collections.abc import Sequence
import importlib
import pathlib
import pkgutil
import sys
import time
import traceback

import benchmarks
from benchmarks import table

OUTPUT_FOLDER = pathlib.Path("bench-out")
_EXCLUDED_MODULES = frozenset({"__main__", "table"})
_PAST_BOUND_STATUS = 1
_ERROR_STATUS = 2


def module_names() -> list[str]:
    """Returns the sorted names of this package's benchmark modules."""
    found = (
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    )
    return sorted(set(found) - _EXCLUDED_MODULES)


def run_modules(names: Sequence[str]) -> tuple[list[table.Row], list[str]]:
    """Runs benchmark modules one after another.

    Args:
        names: Names of modules; those without `run()` are skipped.

    Returns:
        The rows, and the names of the modules that raised an error.
    """
    rows: list[table.Row] = []
    failed: list[str] = []
    for name in names:
        start_s = time.monotonic()
        try:
            module = importlib.import_module(f"benchmarks.{name}")
            rows += module.run() if hasattr(module, "run") else []
        except Exception:  # the remaining modules must still run
            traceback.print_exc()
            failed.append(name)
        elapsed_s = time.monotonic() - start_s
        print(f"{name}: {elapsed_s:.1f} s", file=sys.stderr, flush=True)
    return rows, failed


def write_table(rows: Sequence[table.Row], folder: pathlib.Path) -> None:
    """Writes the rows as a text table and as JSON."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "table.txt").write_text(table.render(rows))
    (folder / "table.json").write_text(table.to_json(rows))


def main(arguments: Sequence[str]) -> int:
    """Runs the named modules, or all, and returns the exit status."""
    known = module_names()
    unknown = [name for name in arguments if name not in known]
    if unknown:
        print(
            f"unknown benchmark {', '.join(unknown)}: "
            f"expected one of {', '.join(known)}",
            file=sys.stderr,
        )
        return _ERROR_STATUS
    rows, failed = run_modules(arguments or known)
    print(table.render(rows), end="")
    write_table(rows, OUTPUT_FOLDER)
    past_bound = table.rows_past_bound(rows)
    for row in past_bound:
        print(f"past its bound: {row.name}", file=sys.stderr)
    for name in failed:
        print(f"broken: {name}", file=sys.stderr)
    if failed:
        return _ERROR_STATUS
    return _PAST_BOUND_STATUS if past_bound else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
