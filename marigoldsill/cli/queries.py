"""Commands that read the state of control: status, explain and audit."""

import time
import urllib.parse

import click

from marigoldsill import errors
from marigoldsill.cli import client as client_module
from marigoldsill.cli import options


@click.command()
@click.option(
    "--watch", is_flag=True, help="Refreshes the output until interrupted."
)
@click.option(
    "--interval-ms",
    type=click.IntRange(min=100),
    default=2000,
    show_default=True,
    help="Time between two refreshes with --watch, in milliseconds.",
)
@options.add_operator_options
def status(
    watch: bool,
    interval_ms: int,
    operator_options: options.OperatorOptions,
) -> None:
    """Shows workers, tasks and what needs attention."""
    client = operator_options.create_client()
    if not watch:
        operator_options.print_answer(client.get("/v1/status"))
        return
    while True:
        _refresh_status(client, operator_options)
        time.sleep(interval_ms / 1000)


@click.command()
@click.argument("name")
@options.add_operator_options
def explain(
    name: str,
    operator_options: options.OperatorOptions,
) -> None:
    """Explains the state of NAME: why it waits, was moved or ended."""
    client = operator_options.create_client()
    path = f"/v1/explain/{urllib.parse.quote(name, safe='')}"
    operator_options.print_answer(client.get(path))


@click.command()
@click.option(
    "--since",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Omits records before this sequence number.",
)
@options.add_operator_options
def audit(
    since: int,
    operator_options: options.OperatorOptions,
) -> None:
    """Shows the plans that operators made, confirmed or were refused, with times."""
    client = operator_options.create_client()
    operator_options.print_answer(client.get(f"/v1/audit?since={since}"))


def _refresh_status(
    client: client_module.Client, operator_options: options.OperatorOptions
) -> None:
    try:
        value = client.get("/v1/status")
    except errors.NotRunError as error:
        click.echo(f"{error.kind}: {error.message}", err=True)
        return
    if operator_options.output == "table":
        click.clear()
    operator_options.print_answer(value)
