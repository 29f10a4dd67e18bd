"""Checks settings and intent files without starting or sending anything."""

import pathlib

import click

from marigoldsill import errors
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import groups
from marigoldsill.cli import options
from marigoldsill.cli import plans


@click.group(cls=groups.Group)
def check() -> None:
    """Checks settings of a role or the platform's, or intent files, offline."""


@check.command("entry")
@options.for_settings(settings_module.EntrySettings)
def check_entry(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill entry`."""
    _settings("entry", settings_module.EntrySettings, flags)


@check.command("agent")
@options.for_settings(settings_module.AgentSettings)
def check_agent(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill agent`."""
    _settings("agent", settings_module.AgentSettings, flags)


@check.command("control")
@options.for_settings(settings_module.ControlSettings)
def check_control(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill control run`."""
    _settings("control", settings_module.ControlSettings, flags)


@check.command("intent")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def check_intent(files: tuple[pathlib.Path, ...]) -> None:
    """Checks intent FILES; reports every fault of all of them."""
    from marigoldsill.protocol import intent_file

    faults: list[str] = []
    for file in files:
        try:
            intent_file.parse(plans.read_file(file))
        except errors.BadInputError as error:
            faults += [f"{file}: {line}" for line in error.message.split("\n")]
        else:
            click.echo(f"{file}: ok")
    if faults:
        raise errors.IntentError("\n".join(faults))


@check.command("platform")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_platform(file: pathlib.Path) -> None:
    """Checks a settings FILE of the users' platform; reports every fault."""
    from marigoldsill.platform import settings_file

    settings = settings_file.load(file)
    click.echo(f"{file}: ok, machine {settings.name!r}")


def _settings(
    role: str, settings_class: type, flags: dict[str, str | None]
) -> None:
    setting_sources.load(settings_class, flags)
    click.echo(f"settings of {role}: ok")
