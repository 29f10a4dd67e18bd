"""Measures the slopes of the capacity page and writes the page's tables.

`python -m benchmarks.capacity` prints the rows; with `--write` it also writes
the tables of docs/CAPACITY.md. It takes about a minute and a half.
"""

from collections.abc import Mapping
import datetime
import os
import platform
import sys

from benchmarks import table
from benchmarks.slopes import capacity_page
from benchmarks.slopes import commits
from benchmarks.slopes import control
from benchmarks.slopes import daemon_sizing
from benchmarks.slopes import fit
from benchmarks.slopes import full_size
from benchmarks.slopes import leader_sizing
from benchmarks.slopes import messages
from benchmarks.slopes import recovery_sizing
from benchmarks.slopes import roles
from benchmarks.slopes import sizing
from benchmarks.slopes import state

_SlopesByModule = Mapping[str, list[fit.Slope]]


def run() -> list[table.Row]:
    """Measures slopes and single figures; only slopes of counts are bounded."""
    slopes_by_module, rows = measure()
    return [
        s.to_row()
        for module_slopes in slopes_by_module.values()
        for s in module_slopes
    ] + rows


def measure() -> tuple[_SlopesByModule, list[table.Row]]:
    """Returns all slopes, by the module that measures them, and all rows."""
    role_slopes, rows = roles.measure()
    commit_slopes, elections = commits.measure()
    slopes_by_module = {
        "messages": messages.measure(),
        "state": state.measure(),
        "control": control.measure(),
        "roles": role_slopes,
        "commits": commit_slopes,
    }
    return slopes_by_module, [*rows, *elections, *full_size.measure()]


def format_tables(
    slopes_by_module: _SlopesByModule, rows: list[table.Row]
) -> dict[str, str]:
    """Returns the tables of the page by the names of their markers."""
    figures = sizing.Measurements(
        slopes={
            s.name: s
            for module_slopes in slopes_by_module.values()
            for s in module_slopes
        },
        rows={row.name.removeprefix("capacity: "): row.value for row in rows},
    )
    slopes = {
        f"slopes {name}": capacity_page.format_slopes(
            module_slopes, f"python -m benchmarks.slopes.{name}"
        )
        for name, module_slopes in slopes_by_module.items()
    }
    group = leader_sizing.estimate_group_leader(
        figures,
        workers_count=sizing.GROUP_WORKERS_COUNT,
        starts_per_s=sizing.GROUP_STARTS_PER_S,
    )
    single = leader_sizing.estimate_group_leader(
        figures,
        workers_count=sizing.WORKERS_COUNT,
        starts_per_s=sizing.STARTS_PEAK_PER_S,
    )
    group_delays = recovery_sizing.estimate_delays(
        figures, workers_count=sizing.GROUP_WORKERS_COUNT
    )
    single_delays = recovery_sizing.estimate_delays(
        figures, workers_count=sizing.WORKERS_COUNT
    )
    return slopes | {
        "machine": _describe_machine(),
        "single figures": capacity_page.format_rows(rows),
        "agent": capacity_page.format_estimates(
            daemon_sizing.estimate_agent(figures)
        ),
        "entry": capacity_page.format_estimates(
            daemon_sizing.estimate_entry(figures)
        ),
        "group": capacity_page.format_estimates([*group, *group_delays]),
        "intents": capacity_page.format_estimates(
            leader_sizing.estimate_intents_leader(figures)
        ),
        "single": capacity_page.format_estimates([*single, *single_delays]),
        "failures": capacity_page.format_estimates(
            recovery_sizing.estimate_recovery(figures)
        ),
    }


def _describe_machine() -> str:
    load = os.getloadavg()[0]
    today = datetime.datetime.now(datetime.UTC).date()
    return (
        f"Written on {today} by Python {platform.python_version()} on "
        f"{os.cpu_count()} processors, load average {load:.1f} at the end of "
        "the run."
    )


def main() -> None:
    """Measures everything, prints it and, with `--write`, writes the page."""
    slopes_by_module, rows = measure()
    slopes = [
        s for module_slopes in slopes_by_module.values() for s in module_slopes
    ]
    fit.print_slopes(slopes)
    print(table.render(rows), end="")
    if "--write" in sys.argv[1:]:
        text = capacity_page.PAGE.read_text()
        for name, content in format_tables(slopes_by_module, rows).items():
            text = capacity_page.replace_table(text, name, content)
        capacity_page.PAGE.write_text(text)


if __name__ == "__main__":
    main()
