"""Commands that read logs, without a connection to control."""

import itertools
from typing import TextIO

import click

from marigoldsill.cli import options
from marigoldsill.cli import output as output_module
from marigoldsill.cli import timeline
from marigoldsill.transport import log_reader


@click.command("explain-logs")
@click.argument("name")
@click.argument(
    "logs",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.File("r", errors="replace"),
)
@options.output
def explain_logs(name: str, logs: tuple[TextIO, ...], output: str) -> None:
    """Shows the timeline of a job of a queue, from logs.

    NAME is a job's id, the name of one of its tasks, the id of a caller's
    request, a worker's id or the name of an agent. Each FILE holds log lines of any
    number of processes; - is standard input. What the logs lack is listed at the end.
    """
    built = timeline.build_timeline(
        name,
        itertools.chain.from_iterable(log_reader.read(log) for log in logs),
    )
    lines = [line.format() for line in built.lines]
    if output == "json":
        output_module.print_answer(
            {"lines": lines, "missing": built.gaps}, output
        )
        return
    for line in lines:
        click.echo(line)
    for gap in built.gaps:
        click.echo(f"missing: {gap}")
