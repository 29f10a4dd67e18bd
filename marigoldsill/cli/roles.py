"""Commands that run a role until a signal."""

import importlib

import click

from marigoldsill import errors
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import groups
from marigoldsill.cli import options
from marigoldsill.transport import logs


@click.command()
@options.for_settings(settings_module.EntrySettings)
def entry(**flags: str | None) -> None:
    """Serves callers."""
    _run("entry", settings_module.EntrySettings, flags)


@click.command()
@options.for_settings(settings_module.AgentSettings)
def agent(**flags: str | None) -> None:
    """Keeps one worker's runs and requests."""
    _run("agent", settings_module.AgentSettings, flags)


@click.group(cls=groups.Group)
def control() -> None:
    """Keeps the replicated state."""


@control.command("run")
@options.for_settings(settings_module.ControlSettings)
def control_run(**flags: str | None) -> None:
    """Runs one control process."""
    _run("control", settings_module.ControlSettings, flags)


@control.command("init")
@options.for_settings(settings_module.ControlInitSettings)
def control_init(**flags: str | None) -> None:
    """Forms a group of control processes; on one VM, and only once."""
    settings = setting_sources.load(settings_module.ControlInitSettings, flags)
    logs.set_up(role="control", name=settings.name)
    role = importlib.import_module("marigoldsill.roles.control")
    cluster_id = role.initialise(settings)
    click.echo(f"formed cluster {cluster_id} in {settings.data_folder}")


@control.command("recover")
@options.for_settings(settings_module.ControlRecoverSettings)
@click.option(
    "--accept-loss",
    is_flag=True,
    help="Says that what only the lost members held may be lost.",
)
def control_recover(accept_loss: bool, **flags: str | None) -> None:
    """Forms a new group from one survivor, when a majority is gone for good."""
    settings = setting_sources.load(
        settings_module.ControlRecoverSettings, flags
    )
    if not accept_loss:
        raise errors.GuardError(
            "what only the lost members held would be lost, and members of "
            "the old group can join the new one with empty folders only; give "
            "--accept-loss if a majority is gone for good"
        )
    logs.set_up(role="control", name=settings.name)
    role = importlib.import_module("marigoldsill.roles.control")
    cluster_id = role.recover(settings)
    click.echo(f"formed cluster {cluster_id} from {settings.data_folder}")


def _run(role: str, settings_class: type, flags: dict[str, str | None]) -> None:
    settings = setting_sources.load(settings_class, flags)
    logs.set_up(
        role=role,
        name=settings.name,
        level=settings.log_level,
        serves=True,
    )
    importlib.import_module(f"marigoldsill.roles.{role}").run(settings)
