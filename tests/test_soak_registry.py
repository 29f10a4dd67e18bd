"""Tests of which proxies of a soak lead to a machine."""

from collections.abc import Iterator
import types

import pytest

from soak import proxy_registry
from tests import one_process

_WORKER, _CONTROL, _FRONTEND = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"


@pytest.fixture
def registry() -> Iterator[proxy_registry.ProxyRegistry]:
    """The proxies of a system with one worker and one edge."""
    registry = proxy_registry.ProxyRegistry()
    internal = one_process.free_address()
    registry.system = types.SimpleNamespace(
        workers={"side-1": types.SimpleNamespace(address=_WORKER)},
        control_address=lambda _: _CONTROL,
        frontend_address=lambda _: _FRONTEND,
        running_edges=lambda: ["edge-1"],
        advertised_address=lambda _: registry.advertise(internal),
    )
    registry.internal = internal
    registry.advertise(internal)
    registry.proxy_address(_CONTROL)
    registry.named_proxies()
    yield registry
    registry.stop()


def test_all_proxies_before_a_machine_are_found(
    registry: proxy_registry.ProxyRegistry,
) -> None:
    targets = {
        name: {each.target for each in proxies}
        for name, proxies in registry.proxies_by_machine().items()
    }
    assert targets == {
        "side-1": {_WORKER, _CONTROL},
        "edge-1": {_FRONTEND, registry.internal},
    }
