"""The audit trail: who planned, confirmed or was refused what, and when."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

RECORDS_LIMIT = 100_000


def append(
    tables: tables_module.Tables,
    verb: ttypes.AuditVerb,
    plan: ttypes.Plan,
    now_unix_ms: int,
    *,
    operator_name: str = "",
    reason: str = "",
) -> None:
    """Adds one record about a plan."""
    tables.audit.append(
        ttypes.AuditRecord(
            sequence=tables.next_audit_sequence,
            at_unix_ms=now_unix_ms,
            operator_name=operator_name or plan.operator_name,
            verb=verb,
            plan_id=plan.plan_id,
            state_version=tables.state_version,
            subjects=[change.subject for change in plan.changes],
            before="; ".join(c.before for c in plan.changes if c.before),
            after="; ".join(c.after for c in plan.changes if c.after),
            reason=reason,
        )
    )
    tables.next_audit_sequence += 1
    if len(tables.audit) > RECORDS_LIMIT:
        tables.audit.popleft()
