"""Command-line options shared by several commands."""

from collections.abc import Callable
import dataclasses
import functools
import pathlib

import click

from marigoldsill import setting_sources
from marigoldsill.cli import client as client_module
from marigoldsill.cli import output as output_module


def add_settings_flags(settings_class: type) -> Callable:
    """Returns a decorator that adds a flag for each setting to a command."""

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
    """The options of every operators' command.

    Attributes:
        control_http: HTTP addresses of the control processes, separated by commas.
        token_file: File that holds the operator's token, or None.
        operator: The operator's name, for a control that requires no token.
        output: How to print answers, "table" or "json".
    """

    control_http: str
    token_file: pathlib.Path | None
    operator: str
    output: str

    def create_client(self) -> client_module.Client:
        """Creates a client of the control processes.

        Raises:
            SettingsError: An address is invalid or the token can't be read.
        """
        return client_module.create_client(
            self.control_http, self.token_file, self.operator
        )

    def print_answer(self, value: object) -> None:
        """Prints an answer in the requested format."""
        output_module.print_answer(value, self.output)


def add_operator_options(command: Callable) -> Callable:
    """Adds the operators' options; the command gets them as `operator_options`."""

    @functools.wraps(command)
    def with_options(
        *,
        control_http: str,
        token_file: pathlib.Path | None,
        operator: str,
        output: str,
        **others: object,
    ) -> None:
        operator_options = OperatorOptions(
            control_http, token_file, operator, output
        )
        command(operator_options=operator_options, **others)

    for option in reversed(_OPERATOR_OPTIONS):
        with_options = option(with_options)
    return with_options


command_id = click.option(
    "--command-id",
    default="",
    help="Id of a command whose answer was lost; a command that is repeated "
    "with the same id takes effect only once.",
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
        help="HTTP addresses of the control processes, separated by commas.",
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
        help="The operator's name, if control requires no token.",
    ),
    output,
)
