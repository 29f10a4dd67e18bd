"""Command groups that import lazily and end with documented exit codes."""

import importlib
import sys

import click

from marigoldsill import errors

INTERRUPTED_EXIT_CODE = 130


class Group(click.Group):
    """Turns typed errors into a message and the documented exit code."""

    def invoke(self, context: click.Context) -> object:
        """Runs the command that was asked for."""
        try:
            return super().invoke(context)
        except errors.MarigoldsillError as error:
            click.echo(f"{error.kind}: {error.message}", err=True)
            sys.exit(error.exit_code)
        except KeyboardInterrupt:
            sys.exit(INTERRUPTED_EXIT_CODE)


class LazyGroup(Group):
    """Imports the module of a command when that command is used.

    Attributes:
        commands_by_name: "module:attribute" by the name of the command.
    """

    def __init__(
        self, *args: object, commands_by_name: dict[str, str], **kwargs: object
    ):
        super().__init__(*args, **kwargs)
        self.commands_by_name = commands_by_name

    def list_commands(self, context: click.Context) -> list[str]:
        """The names of all commands, in the order of the help page."""
        return list(self.commands_by_name)

    def get_command(
        self, context: click.Context, name: str
    ) -> click.Command | None:
        """The command of a name."""
        if name not in self.commands_by_name:
            return None
        module, _, attribute = self.commands_by_name[name].partition(":")
        return getattr(importlib.import_module(module), attribute)
