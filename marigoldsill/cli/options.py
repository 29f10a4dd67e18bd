"""Options that several commands share."""

from collections.abc import Callable
import dataclasses
import functools
import pathlib

import click

from marigoldsill import setting_sources
from marigoldsill.cli import client as client_module
from marigoldsill.cli import output as output_module


def for_settings(settings_class: type) -> Callable:
    """Adds a flag for each setting of a role."""

    def decorate(command: Callable) -> Callable:
        for field in reversed(dataclasses.fields(settings_class)):
            option = click.option(
                setting_sources.flag_of(field.name),
                field.name,
                help=field.metadata["help"],
            )
            command = option(command)
        return command

    return decorate


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorOptions:
    """What every operators' command takes: where, who, how to print."""

    control_http: str
    token_file: pathlib.Path | None
    operator: str
    output: str

    def client(self) -> client_module.Client:
        """A client of the control processes.

        Raises:
            SettingsError: An address is wrong or the token can't be read.
        """
        return client_module.make(
            self.control_http, self.token_file, self.operator
        )

    def show(self, value: object) -> None:
        """Prints an answer as asked."""
        output_module.show(value, self.output)


def for_operators(command: Callable) -> Callable:
    """Adds the operators' options; the command gets them as `operators`."""

    @functools.wraps(command)
    def with_options(
        *,
        control_http: str,
        token_file: pathlib.Path | None,
        operator: str,
        output: str,
        **others: object,
    ) -> None:
        given = OperatorOptions(control_http, token_file, operator, output)
        command(operators=given, **others)

    for option in reversed(_OPERATOR_OPTIONS):
        with_options = option(with_options)
    return with_options


command_id = click.option(
    "--command-id",
    default="",
    help="Id of a command whose answer was lost: sent again with the same "
    "id it takes effect once.",
)

output = click.option(
    "--output",
    envvar="MARIGOLDSILL_OUTPUT",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="How to print the answer.",
)

_OPERATOR_OPTIONS = (
    click.option(
        "--control-http",
        envvar="MARIGOLDSILL_CONTROL_HTTP",
        required=True,
        help="HTTP addresses of the control processes, with commas between.",
    ),
    click.option(
        "--token-file",
        envvar="MARIGOLDSILL_TOKEN_FILE",
        type=click.Path(path_type=pathlib.Path),
        help="File that holds the operator's token.",
    ),
    click.option(
        "--operator",
        envvar="MARIGOLDSILL_OPERATOR",
        default="operator",
        show_default=True,
        help="The operator's name, where control asks for no token.",
    ),
    output,
)
