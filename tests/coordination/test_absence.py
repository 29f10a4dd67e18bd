"""Watchers that are not running."""

from marigoldsill.protocol.generated import ttypes
from tests.coordination import world as world_module


def test_absent_watcher_is_told_of_and_comes_back():
    world = world_module.World()
    world.declare(
        ttypes.Watcher(
            name="parish",
            resources=world_module.size(1),
            absence_limit_ms=10_000,
        )
    )
    world.step(passed_s=5)
    assert world.decisions.absent == []
    world.step(passed_s=6)
    assert [a.task for a in world.decisions.absent] == ["parish/0"]
    world.worker("w1")
    world.step()
    world.step()
    assert world.decisions.absent == []
