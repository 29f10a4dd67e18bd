"""Tests of the routes that follow from announced endpoints and drains."""

import pytest

from marigoldsill.coordination.configuration import endpoint_registry
from marigoldsill.protocol.generated import ttypes
from tests.state import states


@pytest.mark.parametrize(
    ("order", "is_draining"),
    [
        ({}, False),
        (
            {
                "set_evacuation": ttypes.SetEvacuation(
                    data_centre="dc1", active=True
                )
            },
            True,
        ),
        (
            {
                "set_evacuation": ttypes.SetEvacuation(
                    data_centre="dc2", active=True
                )
            },
            False,
        ),
    ],
    ids=["no order", "evacuated", "another data centre"],
)
def test_entries_avoid_endpoints_of_an_evacuated_data_centre(
    order: dict, is_draining: bool
) -> None:
    tables = states.with_workers("w1")
    if order:
        states.apply(tables, **order)
    registry = endpoint_registry.EndpointRegistry()
    registry.set_endpoints(
        "w1",
        [
            ttypes.EndpointInfo(
                service_name="lookup",
                address="127.0.0.1:1",
                slots_count=4,
                connections_count=8,
            )
        ],
    )
    [route] = registry.build_routes(tables)
    assert route.draining == is_draining
