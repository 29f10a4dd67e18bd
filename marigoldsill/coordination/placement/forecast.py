"""Where the waiting tasks would go if the queue were placed now; for plans."""

from marigoldsill.coordination import estimates as estimates_module
from marigoldsill.coordination.placement import facts as facts_module
from marigoldsill.coordination.placement import preview as preview_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


def outlooks(
    tables: tables_module.Tables,
) -> dict[str, preview_module.Outlook]:
    """What would become of each waiting task, in the order of placement."""
    preview = preview_module.Preview(tables)
    return {
        facts.task.name: preview.add(tables.owner_record(facts.task))
        for facts in _queue(tables)
    }


def place_queued(
    tables: tables_module.Tables, *, limit: int
) -> list[ttypes.Assignment]:
    """Grants for the waiting tasks that find room as it is."""
    starts = (
        (name, outlook)
        for name, outlook in outlooks(tables).items()
        if outlook.verb == ttypes.EffectVerb.START
    )
    return [
        _grant(tables, name, outlook)
        for _, (name, outlook) in zip(range(limit), starts, strict=False)
    ]


def _queue(tables: tables_module.Tables) -> list[facts_module.Facts]:
    declared = estimates_module.Estimates()
    waiting = (tables.tasks[name] for name in tables.queued)
    known = (facts_module.of(tables, task, declared) for task in waiting)
    return sorted(
        (facts for facts in known if facts is not None),
        key=lambda facts: facts.order,
    )


def _grant(
    tables: tables_module.Tables, name: str, outlook: preview_module.Outlook
) -> ttypes.Assignment:
    task = tables.tasks[name]
    return ttypes.Assignment(
        task=name,
        epoch=task.epoch + 1,
        worker=outlook.worker,
        reserved=tables.owner_record(task).resources,
        reason=outlook.reason,
    )
