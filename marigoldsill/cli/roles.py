"""Commands that run a role until a stop signal, and that form control groups."""

import importlib

import click

from marigoldsill import errors
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import groups
from marigoldsill.cli import options
from marigoldsill.transport import logs


@click.command()
@options.add_settings_flags(settings_module.EntrySettings)
def entry(**flags: str | None) -> None:
    """Accepts callers' requests and forwards them to agents."""
    _run("entry", settings_module.EntrySettings, flags)


@click.command()
@options.add_settings_flags(settings_module.AgentSettings)
def agent(**flags: str | None) -> None:
    """Handles the runs and requests of one worker."""
    _run("agent", settings_module.AgentSettings, flags)


@click.group(cls=groups.Group)
def control() -> None:
    """Runs and forms groups of control processes, which replicate the state."""


@control.command("run")
@options.add_settings_flags(settings_module.ControlSettings)
def control_run(**flags: str | None) -> None:
    """Runs a control process."""
    _run("control", settings_module.ControlSettings, flags)


@control.command("init")
@options.add_settings_flags(settings_module.ControlInitSettings)
def control_init(**flags: str | None) -> None:
    """Forms a group of control processes; to be run on one VM, and only once."""
    settings = setting_sources.load(settings_module.ControlInitSettings, flags)
    logs.set_up(role="control", name=settings.name)
    control_module = importlib.import_module("marigoldsill.roles.control")
    cluster_id = control_module.initialise(settings)
    click.echo(f"formed cluster {cluster_id} in {settings.data_folder}")


@control.command("recover")
@options.add_settings_flags(settings_module.ControlRecoverSettings)
@click.option(
    "--accept-loss",
    is_flag=True,
    help="Accepts the loss of state that only the lost members had.",
)
def control_recover(accept_loss: bool, **flags: str | None) -> None:
    """Forms a new group from one survivor after the loss of a majority."""
    settings = setting_sources.load(
        settings_module.ControlRecoverSettings, flags
    )
    if not accept_loss:
        raise errors.GuardError(
            "state that only the lost members had would be lost, and members of "
            "the old group can join the new one with empty data folders only; "
            "give --accept-loss if a majority is lost permanently"
        )
    logs.set_up(role="control", name=settings.name)
    control_module = importlib.import_module("marigoldsill.roles.control")
    cluster_id = control_module.recover(settings)
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
