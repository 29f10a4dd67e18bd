"""Where settings come from: flags and environment variables.

A flag `--lease-ms` and the variable `MARIGOLDSILL_LEASE_MS` give the same
setting; the flag wins.
"""

from collections.abc import Mapping
import dataclasses
import os
from typing import Any

from marigoldsill import errors

ENVIRONMENT_PREFIX = "MARIGOLDSILL_"


def variable_of(setting_name: str) -> str:
    """The environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting_name.upper()


def flag_of(setting_name: str) -> str:
    """The flag of a setting."""
    return "--" + setting_name.replace("_", "-")


def load(
    settings_class: type,
    flags: Mapping[str, str | None],
    *,
    environment: Mapping[str, str] | None = None,
) -> Any:
    """Builds a role's settings.

    Args:
        settings_class: The role's class.
        flags: Texts by setting name; None where the flag was not given.
        environment: Variables; those of the process by default.

    Raises:
        SettingsError: Names every setting that is wrong or missing.
    """
    environment = os.environ if environment is None else environment
    values: dict[str, object] = {}
    wrong: list[str] = []
    for field in dataclasses.fields(settings_class):
        given = flags.get(field.name)
        source = flag_of(field.name)
        if given is None:
            given = environment.get(variable_of(field.name))
            source = variable_of(field.name) if given is not None else source
        if given is None:
            if field.default is dataclasses.MISSING:
                wrong.append(
                    f"{source} (or {variable_of(field.name)}) is missing: "
                    f"{field.metadata['help']}"
                )
            continue
        try:
            values[field.name] = field.metadata["check"](given)
        except errors.SettingsError as error:
            wrong.append(f"{source}: {error.message}")
    if wrong:
        raise errors.SettingsError("\n".join(wrong))
    return settings_class(**values)
