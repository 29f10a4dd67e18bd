"""Commands that read: status, explain and audit."""

import pathlib
import time
import urllib.parse

import click

from marigoldsill import errors
from marigoldsill.cli import client as client_module
from marigoldsill.cli import options
from marigoldsill.cli import output as output_module


@click.command()
@click.option("--watch", is_flag=True, help="Shows it again and again.")
@click.option(
    "--interval-ms",
    type=click.IntRange(min=100),
    default=2000,
    show_default=True,
    help="Time between two showings with --watch, in milliseconds.",
)
@options.for_operators
def status(
    watch: bool,
    interval_ms: int,
    control_http: str,
    token_file: pathlib.Path | None,
    operator: str,
    output: str,
) -> None:
    """Shows workers, tasks and what needs attention."""
    client = client_module.make(control_http, token_file, operator)
    if not watch:
        output_module.show(client.get("/v1/status"), output)
        return
    while True:
        _show_again(client, output)
        time.sleep(interval_ms / 1000)


@click.command()
@click.argument("name")
@options.for_operators
def explain(
    name: str,
    control_http: str,
    token_file: pathlib.Path | None,
    operator: str,
    output: str,
) -> None:
    """Says why what NAME names waits, moved, or ended."""
    client = client_module.make(control_http, token_file, operator)
    path = f"/v1/explain/{urllib.parse.quote(name, safe='')}"
    output_module.show(client.get(path), output)


@click.command()
@click.option(
    "--since",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Leaves out records before this sequence number.",
)
@options.for_operators
def audit(
    since: int,
    control_http: str,
    token_file: pathlib.Path | None,
    operator: str,
    output: str,
) -> None:
    """Shows who planned, confirmed or was refused what, and when."""
    client = client_module.make(control_http, token_file, operator)
    output_module.show(client.get(f"/v1/audit?since={since}"), output)


def _show_again(client: client_module.Client, output: str) -> None:
    try:
        value = client.get("/v1/status")
    except errors.NotRunError as error:
        click.echo(f"{error.kind}: {error.message}", err=True)
        return
    if output == "table":
        click.clear()
    output_module.show(value, output)
