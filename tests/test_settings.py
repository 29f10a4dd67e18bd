"""Tests of settings and of loading them from flags and the environment."""

import dataclasses

import pytest

from marigoldsill import errors
from marigoldsill import setting_parsers
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module

_CLASSES = (
    settings_module.EntrySettings,
    settings_module.ControlSettings,
    settings_module.ControlInitSettings,
    settings_module.AgentSettings,
    settings_module.PlatformEdgeSettings,
    settings_module.PlatformSideSettings,
    settings_module.LocalSettings,
)
_VALID = {"name": "entry-1", "control_addresses": "10.0.0.1:7400,10.0.0.2:7400"}


def _load(flags: dict, environment: dict | None = None):
    return setting_sources.load(
        settings_module.EntrySettings, flags, environment=environment or {}
    )


def test_texts_become_typed_values_and_other_settings_have_defaults() -> None:
    settings = _load(_VALID | {"threads_count": "12"})
    assert settings.control_addresses == ("10.0.0.1:7400", "10.0.0.2:7400")
    assert settings.threads_count == 12
    assert settings.log_level == "INFO"


def test_a_flag_takes_precedence_over_its_variable() -> None:
    environment = {
        "MARIGOLDSILL_NAME": "other",
        "MARIGOLDSILL_DATA_CENTRE": "dc2",
    }
    settings = _load(_VALID, environment)
    assert (settings.name, settings.data_centre) == ("entry-1", "dc2")


@pytest.mark.parametrize(
    ("name", "value", "expected"),
    [
        ("name", "", "1 to 63"),
        ("name", "a b", "1 to 63"),
        ("name", "é", "1 to 63"),
        ("http_address", "127.0.0.1", "host:port"),
        ("http_address", "127.0.0.1:99999", "65535"),
        ("http_address", "127.0.0.1:²", "host:port"),
        ("http_address", "127.0.0.1:" + "9" * 5000, "host:port"),
        ("control_addresses", ",", "host:port,host:port"),
        ("control_addresses", "a:1,b", "host:port"),
        ("threads_count", "0", "from 1 to 4096"),
        ("threads_count", "1.5", "from 1 to 4096"),
        ("threads_count", "9" * 5000, "from 1 to 4096"),
        ("log_level", "loud", "DEBUG, INFO"),
    ],
)
def test_an_invalid_value_is_reported_with_what_is_expected(
    name: str, value: str, expected: str
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        _load(_VALID | {name: value})
    assert caught.value.message.startswith(setting_sources.flag_of(name))
    assert expected in caught.value.message


@pytest.mark.parametrize(
    "text",
    ["nat", "nat:0", "0.0.0.0:7720", "[::]:7720", "http://nat:7720", "a b:1"],
)
def test_an_unreachable_advertise_address_is_refused(
    text: str,
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        setting_sources.load(
            settings_module.PlatformEdgeSettings, {"advertise_address": text}
        )
    assert caught.value.message.startswith("--advertise-address")
    assert "expected host:port" in caught.value.message


@pytest.mark.parametrize("text", ["", "nat:7720", "10.0.0.1:1", "[fd00::1]:7"])
def test_an_address_of_one_machine_may_be_advertised(text: str) -> None:
    settings = setting_sources.load(
        settings_module.PlatformEdgeSettings,
        {},
        environment={"MARIGOLDSILL_ADVERTISE_ADDRESS": text},
    )
    assert settings.advertise_address == text


@pytest.mark.parametrize(
    ("name", "value", "expected"),
    [
        ("admission", "yes", "on, off"),
        ("waiting_jobs_limit", "0", "from 1 to"),
        ("waiting_jobs_limit", "many", "from 1 to"),
        ("waiting_bytes_limit", "0", "from 1 to"),
        ("waiting_bytes_limit", "-1", "from 1 to"),
    ],
)
def test_an_invalid_bound_on_waiting_jobs_is_refused(
    name: str, value: str, expected: str
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        setting_sources.load(
            settings_module.PlatformEdgeSettings, {name: value}
        )
    assert caught.value.message.startswith(setting_sources.flag_of(name))
    assert repr(value) in caught.value.message
    assert expected in caught.value.message


@pytest.mark.parametrize("text", ["", "4", "count:0", "count:x", "none"])
def test_an_invalid_limit_on_jobs_under_way_is_refused(text: str) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        setting_sources.load(
            settings_module.PlatformEdgeSettings, {"job_concurrency": text}
        )
    assert caught.value.message.startswith("--job-concurrency")
    assert repr(text) in caught.value.message
    assert "expected 'unlimited', 'predicted-end' or 'count:N'" in (
        caught.value.message
    )


@pytest.mark.parametrize("text", ["unlimited", "count:1", "predicted-end"])
def test_a_limit_on_jobs_under_way_is_read_from_its_variable(text: str) -> None:
    settings = setting_sources.load(
        settings_module.PlatformEdgeSettings,
        {},
        environment={"MARIGOLDSILL_JOB_CONCURRENCY": text},
    )
    assert settings.job_concurrency == text


def test_all_invalid_and_missing_settings_are_reported_at_once() -> None:
    with pytest.raises(errors.SettingsError) as caught:
        _load({"threads_count": "no"}, {"MARIGOLDSILL_HTTP_ADDRESS": "no"})
    lines = caught.value.message.splitlines()
    starts = [line.split()[0].rstrip(":") for line in lines]
    assert sorted(starts) == [
        "--control-addresses",
        "--name",
        "--threads-count",
        "MARIGOLDSILL_HTTP_ADDRESS",
    ]


@pytest.mark.parametrize(
    "text", ["", "a", "a=1", "a=h:1=h:2,b", "a=h=h", "a b=h:1=h:2"]
)
def test_an_invalid_list_of_members_is_refused(text: str) -> None:
    with pytest.raises(errors.SettingsError):
        setting_parsers.parse_members(text)


@pytest.mark.parametrize("settings_class", _CLASSES)
def test_every_default_is_a_valid_value(
    settings_class: type,
) -> None:
    for field in dataclasses.fields(settings_class):
        if field.default is not dataclasses.MISSING:
            check = field.metadata["check"]
            assert check(str(field.default)) == field.default
