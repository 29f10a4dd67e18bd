"""What the leader learns of tasks that disturb each other on a worker.

Each report lists tail latencies of tasks that serve beside the processor time
that those that fill have in use. What an image adds to another's strain is
learnt from all of them, used to place tasks, and handed to all agents, which
set the pace.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.learning import strain
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

_TENTHS = 10
# Agents are told again when a term has changed by this share and amount.
_CHANGED_SHARE = 0.25
_CHANGED_STRAIN = 0.01
_WORKING_PERCENT = 100
# What a task that serves is taken to bear until it was listed, within half a
# second: so much that nothing begins beside it but what is known to be light.
# After a loss of all power everything is granted in one round; tasks that fill
# were then put beside those that serve as if nobody served there.
_UNSEEN_STRAIN = strain.at_ratio(0.92)


@dataclasses.dataclass(slots=True, frozen=True)
class Serving:
    """A task that serves, with the strain that it is expected to bear.

    Attributes:
        image: What it runs.
        strain: As its load usually is, with what fills beside it.
        strain_now: As it was listed last, with what begins beside it.
    """

    image: str
    strain: float
    strain_now: float


class Sharing:
    """Learns, predicts, and tells agents.

    Attributes:
        version: Rises when agents have to be told other terms.
    """

    def __init__(self):
        self.version = 0
        self._filter = strain.StrainFilter()
        self._told: dict[tuple[str, str], float] = {}
        self._learnt_s: dict[str, float] = {}

    def restore(self, pressures: Iterable[ttypes.Pressure]) -> None:
        """Goes on from what an earlier leader recorded."""
        for pressure in pressures:
            serving, filling = pressure.serving_image, pressure.filling_image
            self._filter.restore(serving, filling, pressure.added)
            self._told = self._told | {(serving, filling): pressure.added}
        self.version += 1

    def learn(
        self,
        jobs: job_tables.JobTables,
        views: Iterable[agents_module.AgentView],
    ) -> None:
        """Takes the lists in that came since the last call."""
        for view in views:
            if self._learnt_s.get(view.name) != view.looked_s:
                self._learnt_s[view.name] = view.looked_s
                self._observe(jobs, view)
        self._note_changes()

    def added(
        self, serving_image: str, filling_image: str, share: float
    ) -> float:
        """What a task that fills would add to the strain of one that serves.

        Args:
            serving_image: What the one runs.
            filling_image: What the other runs.
            share: Tenths of the worker that it takes.
        """
        return self._filter.added(serving_image, filling_image) * share

    def added_at_most(
        self, serving_image: str, filling_image: str, share: float
    ) -> float:
        """The same with a standard deviation to spare; more if not known yet."""
        return self._filter.added_at_most(serving_image, filling_image) * share

    def serving(
        self,
        job_id: str,
        step: ttypes.Step,
        look: ttypes.RunLook | None,
        filling: Iterable[tuple[str, float]],
    ) -> Serving:
        """A task that serves beside tasks that fill.

        Args:
            job_id: The task's job.
            step: Its step.
            look: The task as listed last; None if it was not yet.
            filling: Images that fill, each with its tenths of the worker.
        """
        added = sum(self.added(step.image, other, s) for other, s in filling)
        usual = self._filter.usual(job_id)
        now = _UNSEEN_STRAIN
        if look is not None and look.load:
            now = strain.of_tail(look.load, step.tail_target_ms)
        return Serving(step.image, usual + added, now)

    def granted(self, step: ttypes.Step) -> Serving:
        """A task that serves and was granted just now."""
        return Serving(step.image, _UNSEEN_STRAIN, _UNSEEN_STRAIN)

    def pressures(self) -> list[ttypes.Pressure]:
        """What agents are to be told; may be called by other threads."""
        told = self._told
        return [
            ttypes.Pressure(
                serving_image=serving, filling_image=filling, added=added
            )
            for (serving, filling), added in told.items()
        ]

    def _observe(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> None:
        addresses = [jobs.address_of(view.name, key) for key in view.looks]
        listed = [
            (address.job_id, step, look)
            for address, look in zip(
                addresses, view.looks.values(), strict=True
            )
            if (step := jobs.step_at(address)) is not None
        ]
        shares: dict[str, float] = {}
        for _, step, look in listed:
            if step.fills:
                share = shares.get(step.image, 0.0)
                shares[step.image] = share + share_of(view, look.load)
        for job_id, step, look in listed:
            if not step.tail_target_ms or look.percent < _WORKING_PERCENT:
                continue
            self._filter.observe(
                job_id,
                step.image,
                shares,
                tail_ms=look.load,
                target_ms=step.tail_target_ms,
                now_s=view.looked_s,
            )

    def _note_changes(self) -> None:
        changed = {
            pair: added
            for pair, added in self._filter.take_changed_pairs().items()
            if _differs(added, self._told.get(pair, 0.0))
        }
        if changed:
            # Replaced, not changed, as `pressures` may be reading it.
            self._told = self._told | changed
            self.version += 1


def share_of(view: agents_module.AgentView, millicores: float) -> float:
    """Tenths of an agent's worker that some processor time is."""
    whole = view.worker.capacity.cpu_millicores if view.worker else 0
    return _TENTHS * millicores / max(1, whole)


def _differs(added: float, told: float) -> bool:
    return abs(added - told) > max(_CHANGED_STRAIN, told * _CHANGED_SHARE)
