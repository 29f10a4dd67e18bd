"""The command that runs soaks: `python -m soak --seeds 50`."""

import pathlib
import random
import sys
import tempfile

import click

from soak import run as run_module


@click.command()
@click.option("--seeds", default=1, help="How many soaks to run.")
@click.option(
    "--first", type=int, help="The first seed; a random one by default."
)
@click.option(
    "--seconds", default=15.0, help="How long faults are injected in each soak."
)
@click.option(
    "--workers",
    type=click.IntRange(1, 150),
    default=run_module.WORKERS_COUNT,
    help="Workers, each with an agent.",
)
@click.option(
    "--edges",
    type=click.IntRange(3, 89),
    default=run_module.EDGES_COUNT,
    help="Edge processes, three of which have a disk.",
)
@click.option(
    "--series",
    is_flag=True,
    help="Also repeat faults of one kind several times in series.",
)
@click.option(
    "--losses",
    is_flag=True,
    help="Also lose workers in series, beside jobs for which that matters.",
)
@click.option(
    "--misbehaviour",
    is_flag=True,
    help="Also have clients that leave, bad workers and other writers' heartbeats.",
)
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path),
    help="The folder for logs; a new temporary folder by default.",
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    workers: int,
    edges: int,
    series: bool,
    losses: bool,
    misbehaviour: bool,
    logs: pathlib.Path | None,
) -> None:
    """Runs soaks one after another; exits with 1 if an invariant was violated."""
    logs = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    first_seed = (
        random.SystemRandom().randrange(1 << 32) if first is None else first
    )
    failed_count = 0
    for seed in range(first_seed, first_seed + seeds):
        folder = logs / str(seed)
        folder.mkdir(parents=True)
        result = run_module.run(
            seed,
            folder,
            duration_s=seconds,
            workers_count=workers,
            edges_count=edges,
            has_series=series,
            has_losses=losses,
            has_misbehaviour=misbehaviour,
        )
        failed_count += bool(result.violations)
        click.echo(
            f"seed={seed} faults={result.faults_count} "
            f"jobs={result.jobs_count} "
            f"longest_away_s={result.longest_downtime_s:.1f} "
            f"broken={len(result.violations)} "
            f"processes={result.processes_count} "
            f"peak_mb={result.peak_bytes // 1_000_000}"
        )
        if result.violations:
            click.echo(result.report())
    click.echo(
        f"{seeds - failed_count} soaks kept every promise, {failed_count} did not"
    )
    click.echo(f"logs: {logs}")
    sys.exit(1 if failed_count else 0)


main()
