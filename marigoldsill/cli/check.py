"""Commands that check settings and intent files without starting anything."""

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
    """Checks the settings of a role or of the platform, or intent files, offline."""


@check.command("entry")
@options.add_settings_flags(settings_module.EntrySettings)
def check_entry(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill entry`."""
    _check_settings("entry", settings_module.EntrySettings, flags)


@check.command("agent")
@options.add_settings_flags(settings_module.AgentSettings)
def check_agent(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill agent`."""
    _check_settings("agent", settings_module.AgentSettings, flags)


@check.command("control")
@options.add_settings_flags(settings_module.ControlSettings)
def check_control(**flags: str | None) -> None:
    """Checks the settings of `marigoldsill control run`."""
    _check_settings("control", settings_module.ControlSettings, flags)


@check.command("intent")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def check_intent(files: tuple[pathlib.Path, ...]) -> None:
    """Checks intent FILES and reports all errors in all of them."""
    from marigoldsill.protocol import intent_file

    messages: list[str] = []
    for file in files:
        try:
            intent_file.parse(plans.read_file(file))
        except errors.BadInputError as error:
            messages += [
                f"{file}: {line}" for line in error.message.split("\n")
            ]
        else:
            click.echo(f"{file}: ok")
    if messages:
        raise errors.IntentError("\n".join(messages))


@check.command("platform")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_platform(file: pathlib.Path) -> None:
    """Checks a settings FILE of the users' platform and reports all errors."""
    from marigoldsill.platform import settings_file

    settings = settings_file.load(file)
    click.echo(f"{file}: ok, machine {settings.name!r}")


def _check_settings(
    role: str, settings_class: type, flags: dict[str, str | None]
) -> None:
    setting_sources.load(settings_class, flags)
    click.echo(f"settings of {role}: ok")
