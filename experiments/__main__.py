"""Compares policies: `python -m experiments run LOAD --policy a,b`."""

from concurrent import futures
import itertools
import json
import pathlib
import statistics

import click
import loguru

from experiments import loads
from experiments import pairs
from experiments import policies
from experiments import simulation
from marigoldsill import errors

_REPORTED_FIGURES = (
    "worth",
    "unserved",
    "filling_credit",
    "filling_in_time",
    "filling_unserved",
    "serving_credit",
    "serving_unserved",
    "batch_credit",
    "over_s",
    "use_filled",
    "use_paced_away",
    "use_contended",
    "use_idle",
    "use_thrown_away",
)

ValuesByFigure = dict[str, list[float]]


@click.group()
def main() -> None:
    """Simulates loads in virtual time with the product's own decisions."""


@main.command()
@click.argument("load_name")
@click.option("--policy", "names", default="product", show_default=True)
@click.option("--seeds", "seeds_count", default=20, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option("--jobs", "jobs_count", default=4, show_default=True)
@click.option("--out", type=click.Path(path_type=pathlib.Path))
def run(
    load_name: str,
    names: str,
    seeds_count: int,
    first_seed: int,
    jobs_count: int,
    out: pathlib.Path | None,
) -> None:
    """Simulates LOAD_NAME with each policy, with the same seeds for all."""
    try:
        load = loads.load(loads.find(load_name))
    except errors.MarigoldsillError as error:
        raise click.ClickException(error.message) from error
    policy_names = names.split(",")
    unknown = [name for name in policy_names if name not in policies.POLICIES]
    if unknown:
        raise click.ClickException(
            f"unknown policy {unknown[0]!r}: expected one of "
            f"{', '.join(policies.POLICIES)}"
        )
    seeds = range(first_seed, first_seed + seeds_count)
    results = _simulate_all(load, policy_names, seeds, jobs_count)
    click.echo(_format_table(results))
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        content = {"load": load.name, "results": results}
        (out / f"{load.name}.json").write_text(json.dumps(content, indent=1))


@main.command()
@click.argument("before", type=click.Path(path_type=pathlib.Path))
@click.argument("after", type=click.Path(path_type=pathlib.Path))
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Compares the first policy of each run in two folders, by seed."""
    for path in sorted(before.glob("*.json")):
        other = after / path.name
        if not other.exists():
            continue
        first = next(iter(json.loads(path.read_text())["results"].values()))
        second = next(iter(json.loads(other.read_text())["results"].values()))
        click.echo(path.stem)
        click.echo(_format_table({"before": first, "after": second}))


def _simulate_all(
    load: loads.Load, names: list[str], seeds: range, jobs_count: int
) -> dict[str, ValuesByFigure]:
    simulations = list(itertools.product(names, seeds))
    results: dict[str, ValuesByFigure] = {name: {} for name in names}
    with (
        futures.ProcessPoolExecutor(jobs_count) as pool,
        click.progressbar(length=len(simulations), label=load.name) as bar,
    ):
        figures_by_simulation = pool.map(
            _simulate,
            [load] * len(simulations),
            *zip(*simulations, strict=True),
        )
        for (name, _), figures in zip(
            simulations, figures_by_simulation, strict=True
        ):
            for key, value in figures.items():
                results[name].setdefault(key, []).append(value)
            bar.update(1)
    return results


def _simulate(load: loads.Load, name: str, seed: int) -> dict[str, float]:
    # Log lines of simulated days would hide the progress.
    loguru.logger.disable("marigoldsill")
    with policies.POLICIES[name]():
        return simulation.simulate(load, seed).figures()


def _format_table(results: dict[str, ValuesByFigure]) -> str:
    """Formats the means and each policy's paired difference to the first."""
    names = list(results)
    first = results[names[0]]
    lines = [f"{'':18}" + "".join(f"{name:>26}" for name in names)]
    for key in _REPORTED_FIGURES:
        cells = [f"{statistics.fmean(first[key]):26.3f}"]
        for name in names[1:]:
            mean = statistics.fmean(results[name][key])
            difference, error = pairs.paired_difference(
                first[key], results[name][key]
            )
            mark = "*" if pairs.is_significant(difference, error) else " "
            cells.append(f"{mean:9.3f} {difference:+7.3f}±{error:.3f}{mark}")
        lines.append(f"{key:18}" + "".join(f"{cell:>26}" for cell in cells))
    return "\n".join(lines)


if __name__ == "__main__":
    main()
