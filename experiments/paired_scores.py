"""Compares the scores of commits on played days, paired by seed.

Run as `python -m experiments.paired_scores BASE COMMIT... --copies FOLDER --day NAME
--command COMMAND --figure FIGURE`. The command plays one day in a copy of a commit and
writes a report, a JSON file with the figure.
"""

from collections.abc import Sequence
from concurrent import futures
import dataclasses
import itertools
import json
import pathlib
import shlex
import statistics
import subprocess

import click

from experiments import commit_copies
from experiments import pairs
from marigoldsill import errors

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_FIELDS = ("{seed}", "{report}")
_MIN_SEEDS = 2


class PlayError(errors.MarigoldsillError):
    """A play failed or its report has no such figure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One play of a day.

    Attributes:
        copy: The folder with the commit's sources.
        seed: The seed of the day.
        report: The file for the report. The output is written beside it.
    """

    copy: pathlib.Path
    seed: int
    report: pathlib.Path


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="BASE COMMIT...")
@click.option(
    "--copies",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Folder with a copy of each commit, named after its first 7 digits.",
)
@click.option(
    "--clone", is_flag=True, help="Clone the copies that are missing."
)
@click.option(
    "--reports",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Folder for the reports and the output of the plays.",
)
@click.option("--day", required=True, help="Name of the day, for the table.")
@click.option(
    "--command",
    required=True,
    help="Plays one day in the copy it is run in; with {seed} and {report}.",
)
@click.option("--figure", required=True, help="Key of the score in a report.")
@click.option("--seeds", "seeds_count", default=8, show_default=True)
@click.option("--first-seed", default=1, show_default=True)
@click.option("--jobs", "jobs_count", default=1, show_default=True)
def main(
    names: Sequence[str],
    copies: pathlib.Path,
    clone: bool,
    reports: pathlib.Path,
    day: str,
    command: str,
    figure: str,
    seeds_count: int,
    first_seed: int,
    jobs_count: int,
) -> None:
    """Prints one table row for each COMMIT: its scores against those of BASE."""
    try:
        check_command(command)
        seeds = make_seeds(first_seed, seeds_count)
        commits = commit_copies.resolve(_ROOT, names)
        folders = [
            commit_copies.find(_ROOT, copies, commit, clone=clone)
            for commit in commits
        ]
    except errors.MarigoldsillError as error:
        raise click.ClickException(error.message) from error
    reports.mkdir(parents=True, exist_ok=True)
    plays = [
        Play(folder, seed, reports.resolve() / f"{folder.name}-{seed}.json")
        for seed, folder in itertools.product(seeds, folders)
    ]
    scores, failures = _play_all(plays, command, figure, jobs_count)
    for folder in folders[1:]:
        click.echo(format_row(day, folders[0].name, folder.name, scores))
    if failures:
        raise click.ClickException("\n".join(failures))


def check_command(command: str) -> None:
    """Checks that a command names the seed and the report."""
    missing = [field for field in _FIELDS if field not in command]
    if missing:
        raise errors.BadInputError(
            f"command {command!r} lacks {missing[0]}: expected a command with "
            f"{' and '.join(_FIELDS)}"
        )


def make_seeds(first_seed: int, seeds_count: int) -> range:
    """Returns the seeds to play; a standard error takes at least two."""
    if seeds_count < _MIN_SEEDS:
        raise errors.BadInputError(
            f"seeds is {seeds_count}: expected at least {_MIN_SEEDS}, as one pair has "
            "no standard error"
        )
    return range(first_seed, first_seed + seeds_count)


def _play_all(
    plays: Sequence[Play], command: str, figure: str, jobs_count: int
) -> tuple[dict[tuple[str, int], float], list[str]]:
    """Returns the scores by copy and seed, and the messages of failed plays."""
    scores, failures = {}, []
    with futures.ThreadPoolExecutor(jobs_count) as pool:
        pending = [pool.submit(play, p, command, figure) for p in plays]
        for one, future in zip(plays, pending, strict=True):
            try:
                scores[one.copy.name, one.seed] = future.result()
            except PlayError as error:
                failures.append(error.message)
    return scores, failures


def play(one: Play, command: str, figure: str) -> float:
    """Plays a day in a copy and returns its score.

    Raises:
        PlayError: The play failed or its report has no such figure.
    """
    one.report.unlink(missing_ok=True)
    output = one.report.with_suffix(".out")
    arguments = [
        part.replace("{seed}", str(one.seed)).replace(
            "{report}", str(one.report)
        )
        for part in shlex.split(command)
    ]
    try:
        with output.open("w") as file:
            status = subprocess.run(
                arguments,
                cwd=one.copy,
                stdout=file,
                stderr=subprocess.STDOUT,
                check=False,
            ).returncode
    except OSError as error:
        raise PlayError(f"cannot run {arguments[0]}: {error}") from error
    if status:
        raise PlayError(
            f"the play of seed {one.seed} in {one.copy} ended with {status}: see "
            f"{output}"
        )
    return read_figure(one.report, figure)


def read_figure(report: pathlib.Path, figure: str) -> float:
    """Returns a figure of a report.

    Raises:
        PlayError: The report cannot be read or has no such figure.
    """
    try:
        content = json.loads(report.read_text())
    except (OSError, ValueError) as error:
        raise PlayError(f"cannot read report {report}: {error}") from error
    value = content.get(figure) if isinstance(content, dict) else None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise PlayError(f"report {report} has no number {figure!r}")
    return value


def format_row(
    day: str, base: str, other: str, scores: dict[tuple[str, int], float]
) -> str:
    """Formats the scores of a commit against those of the base as a table row.

    The cells are the day, both commits with their means, the mean difference with its
    standard error, and the number of pairs. `*` marks a significant difference. A seed
    that failed on either side is left out.
    """
    seeds = [
        seed
        for name, seed in scores
        if name == base and (other, seed) in scores
    ]
    cells = [day, base, other, "-", "-", "-", f"{len(seeds)}"]
    if len(seeds) >= _MIN_SEEDS:
        before, after = (
            [scores[name, seed] for seed in seeds] for name in (base, other)
        )
        difference, error = pairs.paired_difference(before, after)
        mark = "*" if pairs.is_significant(difference, error) else ""
        cells[3:6] = [
            f"{statistics.fmean(before):.3f}",
            f"{statistics.fmean(after):.3f}",
            f"{difference:+.3f}, {error:.3f}{mark}",
        ]
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
