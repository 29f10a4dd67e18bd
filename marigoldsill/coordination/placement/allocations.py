"""Resources allocated to each team, and instances of owners by location.

A location is a worker, a rack, a data centre or the whole fleet. Both are
updated when the runs on a worker change.
"""

import collections
import dataclasses

from marigoldsill.coordination.placement import (
    capacity_index as capacity_index_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module

_ANYWHERE = "anywhere"


@dataclasses.dataclass(slots=True, frozen=True)
class _Allocation:
    """The resources counted for one run on one worker."""

    owner: str
    team: str
    amount: ttypes.Resources
    locations: tuple[str, ...]


class Allocations:
    """Resources by team, and counts of instances by owner and location."""

    def __init__(self):
        self._allocations: dict[tuple[str, str], _Allocation] = {}
        self._by_team: dict[str, ttypes.Resources] = {}
        self._instance_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._granted_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._granted_by_team: dict[str, ttypes.Resources] = {}

    def update(
        self,
        tables: tables_module.Tables,
        worker: str,
        old: capacity_index_module.WorkerView | None,
        new: capacity_index_module.WorkerView | None,
    ) -> None:
        """Updates the counts from the changes on one worker.

        Args:
            tables: The state.
            worker: The worker's name.
            old: The worker as last counted, or None if it is new.
            new: The worker now, or None if it was removed.
        """
        before = old.charges if old is not None else {}
        after = new.charges if new is not None else {}
        for task, amount in before.items():
            if after.get(task) != amount:
                self._remove(worker, task)
        for task, amount in after.items():
            if (worker, task) not in self._allocations:
                self._add(tables, new.record, task, amount)

    def team_total(self, team: str) -> ttypes.Resources:
        """Resources of a team's runs that may be alive, and of new grants."""
        allocated = self._by_team.get(team, amounts.ZERO)
        granted = self._granted_by_team.get(team)
        return allocated if granted is None else amounts.add(allocated, granted)

    def begin_round(self) -> None:
        """Clears the grants of the last round.

        By now the state has those that were applied.
        """
        self._granted_by_team.clear()
        self._granted_counts.clear()

    def record_grant(
        self,
        owner: str,
        team: str,
        record: ttypes.Worker,
        amount: ttypes.Resources,
    ) -> None:
        """Counts a grant that is not in the state yet."""
        amounts.add_to(self._granted_by_team, team, amount)
        self._granted_counts.update(
            (owner, location) for location in locations_of(record)
        )

    def count_instances(self, owner: str, location: str) -> int:
        """The number of runs of an owner at a location, with new grants."""
        key = (owner, location)
        return self._instance_counts[key] + self._granted_counts[key]

    def count_all_instances(self, owner: str) -> int:
        """The number of runs of an owner, without new grants."""
        return self._instance_counts[owner, _ANYWHERE]

    def _add(
        self,
        tables: tables_module.Tables,
        record: ttypes.Worker,
        name: str,
        amount: ttypes.Resources,
    ) -> None:
        task = tables.tasks[name]
        owner = tables.owner_record(task)
        team = owner.team if owner is not None else ""
        allocation = _Allocation(task.owner, team, amount, locations_of(record))
        self._allocations[record.name, name] = allocation
        amounts.add_to(self._by_team, team, amount)
        for location in allocation.locations:
            self._change_count(allocation.owner, location, 1)

    def _remove(self, worker: str, name: str) -> None:
        allocation = self._allocations.pop((worker, name), None)
        if allocation is None:
            return
        amounts.subtract_from(self._by_team, allocation.team, allocation.amount)
        for location in allocation.locations:
            self._change_count(allocation.owner, location, -1)

    def _change_count(self, owner: str, location: str, change: int) -> None:
        key = (owner, location)
        self._instance_counts[key] += change
        if not self._instance_counts[key]:
            del self._instance_counts[key]


def data_centre_location(name: str) -> str:
    """The location of a whole data centre."""
    return f"dc:{name}"


def locations_of(record: ttypes.Worker) -> tuple[str, str, str, str]:
    """The locations of a worker: anywhere, its data centre, rack and name."""
    centre = data_centre_location(record.data_centre)
    return (
        _ANYWHERE,
        centre,
        f"{centre}/rack:{record.rack}",
        f"worker:{record.name}",
    )
