"""Commands that run a process on the users' platform."""

import importlib

import click

from marigoldsill.cli import groups
from marigoldsill.platform import settings_file
from marigoldsill.transport import logs


@click.group(cls=groups.Group)
def platform() -> None:
    """Runs on the users' platform, by the platform's settings file."""


@platform.command("edge")
def edge() -> None:
    """Serves callers and operators; keeps state where there is a disk."""
    _run("edge", "Edge")


@platform.command("side")
def side() -> None:
    """Keeps the runs of the worker on this machine."""
    _run("side", "Side")


def _run(role: str, class_name: str) -> None:
    path = settings_file.path_of()
    name = settings_file.load(path).name
    logs.set_up(role=role, name=name, serves=True)
    module = importlib.import_module(f"marigoldsill.platform.{role}")
    process = importlib.import_module("marigoldsill.platform.process")
    process.run(getattr(module, class_name), path)
