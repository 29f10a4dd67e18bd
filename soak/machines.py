"""The machines of a soak."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Machines:
    """The machines that faults affect: edges with and without a disk, and sides."""

    members: tuple[str, ...]
    stateless_edges: tuple[str, ...]
    sides: tuple[str, ...]

    @property
    def edges(self) -> tuple[str, ...]:
        """The edges with and without a disk."""
        return (*self.members, *self.stateless_edges)

    @property
    def all(self) -> tuple[str, ...]:
        """The edges and the workers' machines."""
        return (*self.edges, *self.sides)
