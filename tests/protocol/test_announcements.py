"""Announcements of endpoints: read whole or refused whole."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from marigoldsill import errors
from marigoldsill.protocol import announcements
from marigoldsill.protocol import codec

_GOOD = {
    "service": "lookup",
    "address": "127.0.0.1:9000",
    "slots_count": 4,
    "connections_count": 8,
    "task": "lookup/0",
}


def test_a_good_announcement_is_read() -> None:
    [endpoint] = announcements.parse(json.dumps([_GOOD]).encode())
    assert endpoint.service_name == "lookup"
    assert endpoint.slots_count == 4


@pytest.mark.parametrize("field", [name for name in _GOOD if name != "task"])
def test_a_field_that_is_missing_is_named(field: str) -> None:
    item = {name: value for name, value in _GOOD.items() if name != field}
    with pytest.raises(errors.BadInputError, match=field):
        announcements.parse(json.dumps([item]).encode())


@hypothesis.given(
    field=strategies.sampled_from(sorted(_GOOD)),
    value=strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text()
    | strategies.just("\ud800")
    | strategies.lists(strategies.integers(), max_size=2),
)
def test_what_is_accepted_can_always_be_sent_to_control(
    field: str, value: object
) -> None:
    body = json.dumps([_GOOD | {field: value}]).encode()
    try:
        [endpoint] = announcements.parse(body)
    except errors.BadInputError:
        return
    codec.encode(endpoint)
