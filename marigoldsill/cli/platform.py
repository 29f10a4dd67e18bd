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
    _run("edge")


@platform.command("side")
def side() -> None:
    """Keeps the runs of the worker on this machine."""
    _run("side")


def _run(role: str) -> None:
    settings = settings_file.load(settings_file.path_of())
    logs.set_up(role=role, name=settings.name)
    importlib.import_module(f"marigoldsill.platform.{role}").run(settings)
