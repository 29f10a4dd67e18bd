"""Runs benchmark modules and writes one table.

`python -m benchmarks` runs every module of this package that has `run()`;
`python -m benchmarks placement capacity` runs those two. The table goes to
standard output and to the folder `bench-out`. The exit status is 1 when a value
is past its bound, and 2 when a benchmark broke or there is no such module.
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
_NO_BENCHMARKS = frozenset({"__main__", "table"})
_PAST_BOUND_STATUS = 1
_BROKEN_STATUS = 2


def module_names() -> list[str]:
    """The benchmark modules of this package, by name."""
    found = (
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    )
    return sorted(set(found) - _NO_BENCHMARKS)


def run(names: Sequence[str]) -> tuple[list[table.Row], list[str]]:
    """Runs benchmark modules one after another.

    Args:
        names: Modules; those without `run()` are passed over.

    Returns:
        Their rows, and the names of modules that broke.
    """
    rows: list[table.Row] = []
    broken: list[str] = []
    for name in names:
        start_s = time.monotonic()
        try:
            module = importlib.import_module(f"benchmarks.{name}")
            rows += module.run() if hasattr(module, "run") else []
        except Exception:  # the other modules must still run
            traceback.print_exc()
            broken.append(name)
        took_s = time.monotonic() - start_s
        print(f"{name}: {took_s:.1f} s", file=sys.stderr, flush=True)
    return rows, broken


def write(rows: Sequence[table.Row], folder: pathlib.Path) -> None:
    """Writes the table as text and as JSON."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "table.txt").write_text(table.render(rows))
    (folder / "table.json").write_text(table.to_json(rows))


def main(arguments: Sequence[str]) -> int:
    """Runs what was asked for and returns the exit status."""
    known = module_names()
    unknown = [name for name in arguments if name not in known]
    if unknown:
        print(
            f"no benchmark is named {', '.join(unknown)}; "
            f"accepted are {', '.join(known)}",
            file=sys.stderr,
        )
        return _BROKEN_STATUS
    rows, broken = run(arguments or known)
    print(table.render(rows), end="")
    write(rows, OUTPUT_FOLDER)
    past = table.past_bound(rows)
    for row in past:
        print(f"past its bound: {row.name}", file=sys.stderr)
    for name in broken:
        print(f"broken: {name}", file=sys.stderr)
    if broken:
        return _BROKEN_STATUS
    return _PAST_BOUND_STATUS if past else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
