"""The audit trail: which operator planned, confirmed or was refused a change.

The newest records are part of the replicated state and as durable as it is.
Older ones are dropped; each was also written to the log of the control
processes. docs/PLANS.md discusses this trade-off.
"""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

RECORDS_LIMIT = 5_000
_SUBJECTS_LIMIT = 50
_TEXT_LIMIT_CHARS = 1_000


def append(
    tables: tables_module.Tables,
    verb: ttypes.AuditVerb,
    plan: ttypes.Plan,
    now_unix_ms: int,
    *,
    operator_name: str = "",
    reason: str = "",
) -> None:
    """Adds a record about a plan.

    Args:
        tables: The state.
        verb: What happened to the plan.
        plan: The plan.
        now_unix_ms: When the leader proposed it.
        operator_name: Who did it; the plan's operator if empty.
        reason: Why, for people; shortened if it is long.
    """
    tables.audit.append(
        ttypes.AuditRecord(
            sequence=tables.next_audit_sequence,
            at_unix_ms=now_unix_ms,
            operator_name=operator_name or plan.operator_name,
            verb=verb,
            plan_id=plan.plan_id,
            state_version=tables.state_version,
            subjects=_subjects(plan),
            before=_join(c.before for c in plan.changes),
            after=_join(c.after for c in plan.changes),
            reason=_truncate(reason),
        )
    )
    tables.next_audit_sequence += 1
    if len(tables.audit) > RECORDS_LIMIT:
        tables.audit.popleft()


def records_since(
    tables: tables_module.Tables, sequence: int
) -> list[ttypes.AuditRecord]:
    """Returns the kept records from a sequence number on, oldest first."""
    if not tables.audit:
        return []
    skipped = max(0, sequence - tables.audit[0].sequence)
    return list(tables.audit)[skipped:]


def find_outcome(
    tables: tables_module.Tables, plan_id: int
) -> ttypes.AuditRecord | None:
    """Returns the last confirmation or refusal of a plan, or None if not kept."""
    outcome_verbs = (ttypes.AuditVerb.CONFIRMED, ttypes.AuditVerb.REFUSED)
    outcomes = (
        r
        for r in reversed(tables.audit)
        if r.plan_id == plan_id and r.verb in outcome_verbs
    )
    return next(outcomes, None)


def _subjects(plan: ttypes.Plan) -> list[str]:
    subjects = [change.subject for change in plan.changes]
    omitted_count = len(subjects) - _SUBJECTS_LIMIT
    if omitted_count <= 0:
        return subjects
    return [*subjects[:_SUBJECTS_LIMIT], f"and {omitted_count} more"]


def _join(texts: Iterable[str]) -> str:
    return _truncate("; ".join(text for text in texts if text))


def _truncate(text: str) -> str:
    if len(text) <= _TEXT_LIMIT_CHARS:
        return text
    return text[:_TEXT_LIMIT_CHARS] + " (cut)"
