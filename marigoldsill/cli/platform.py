"""Commands that run a process on the users' platform."""

import importlib

import click

from marigoldsill.cli import groups
from marigoldsill.platform import settings_file
from marigoldsill.transport import logs


@click.group(cls=groups.Group)
def platform() -> None:
    """Runs on the users' platform, by the platform's settings file."""


_metrics_port = click.option(
    "--metrics-port",
    type=click.IntRange(0, 65_535),
    default=0,
    envvar="MARIGOLDSILL_METRICS_PORT",
    help="Port on which metrics are served; 0 for nowhere.",
)


@platform.command("edge")
@_metrics_port
def edge(metrics_port: int) -> None:
    """Serves callers and operators; keeps state where there is a disk."""
    _run("edge", "Edge", metrics_port)


@platform.command("side")
@_metrics_port
def side(metrics_port: int) -> None:
    """Keeps the runs of the worker on this machine."""
    _run("side", "Side", metrics_port)


def _run(role: str, class_name: str, metrics_port: int) -> None:
    path = settings_file.path_of()
    name = settings_file.load(path).name
    logs.set_up(role=role, name=name, serves=True)
    module = importlib.import_module(f"marigoldsill.platform.{role}")
    process = importlib.import_module("marigoldsill.platform.process")
    process.run(getattr(module, class_name), path, metrics_port=metrics_port)
