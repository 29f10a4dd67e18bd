"""Command groups with lazy imports and the documented exit codes."""

import importlib
import sys

import click

from marigoldsill import errors

INTERRUPTED_EXIT_CODE = 130


class Group(click.Group):
    """A command group that reports errors by a message and the exit code."""

    def invoke(self, context: click.Context) -> object:
        """Runs the command; exits with the error's code if it fails."""
        try:
            return super().invoke(context)
        except errors.MarigoldsillError as error:
            click.echo(f"{error.kind}: {error.message}", err=True)
            sys.exit(error.exit_code)
        except KeyboardInterrupt:
            sys.exit(INTERRUPTED_EXIT_CODE)


class LazyGroup(Group):
    """A command group that imports a command's module when the command is used.

    Attributes:
        commands_by_name: Location of each command as "module:attribute", by name.
    """

    def __init__(
        self, *args: object, commands_by_name: dict[str, str], **kwargs: object
    ):
        super().__init__(*args, **kwargs)
        self.commands_by_name = commands_by_name

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of all commands, in the order of the help page."""
        return list(self.commands_by_name)

    def get_command(
        self, context: click.Context, name: str
    ) -> click.Command | None:
        """Returns a command by its name, or None if there is none."""
        if name not in self.commands_by_name:
            return None
        module, _, attribute = self.commands_by_name[name].partition(":")
        return getattr(importlib.import_module(module), attribute)
