"""The system forms although the process that would form it is killed at once."""

import pathlib

import pytest

from tests.platform import killed_founder


@pytest.mark.parametrize("killed_after_s", [0.3, 1.0, None])
def test_a_group_forms_although_its_founder_is_killed(
    tmp_path: pathlib.Path, killed_after_s: float | None
) -> None:
    """Guards against a system that never forms, as nobody replaces the founder."""
    accepted_s = killed_founder.measure_acceptance_s(
        tmp_path, killed_after_s=killed_after_s, seed=0
    )
    assert accepted_s < killed_founder.ACCEPTANCE_LIMIT_S
