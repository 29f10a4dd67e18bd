"""Tests of the settings of where tasks go."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_locality import locality_settings


def test_the_defaults_switch_everything_off() -> None:
    settings = locality_settings.LocalitySettings()
    assert not settings.awaits_racks
    assert not settings.spreads_racks
    assert not settings.ramps_workers


@pytest.mark.parametrize("ratio", [0.99, -1.0, 0.0, float("inf"), float("nan")])
def test_a_ratio_below_one_or_without_a_value_is_refused(ratio: float) -> None:
    with pytest.raises(errors.SettingsError, match="remote run ratio is .*1.0"):
        locality_settings.LocalitySettings(remote_run_ratio=ratio)


@pytest.mark.parametrize("ramp_up_s", [-0.1, float("inf"), float("nan")])
def test_a_ramp_that_never_ends_is_refused(ramp_up_s: float) -> None:
    with pytest.raises(errors.SettingsError, match="worker ramp-up is"):
        locality_settings.LocalitySettings(worker_ramp_up_s=ramp_up_s)
