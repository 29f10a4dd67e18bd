"""Copies audit records to this process's log, for operators who keep logs.

Every control process logs the records that it applies. A restarted process logs
the records that it replays again, and a process that caught up by a snapshot does
not log the records in the snapshot. To get the complete trail, merge the logs of
all processes and keep one line for each sequence number.
"""

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import audit
from marigoldsill.transport import logs


class AuditLogger:
    """Logs the new records in the audit trail of a replica."""

    def __init__(self, *, replica: replica_module.Replica):
        self._replica = replica
        self._next_sequence = replica.tables.next_audit_sequence
        replica.on_applied(self._on_applied)
        replica.on_tables_replaced(self._on_replaced)

    def _on_applied(self, command: ttypes.Command) -> None:
        tables = self._replica.tables
        if tables.next_audit_sequence == self._next_sequence:
            return
        for record in audit.records_since(tables, self._next_sequence):
            _log_record(record)
        self._next_sequence = tables.next_audit_sequence

    def _on_replaced(self) -> None:
        self._next_sequence = self._replica.tables.next_audit_sequence


def _log_record(record: ttypes.AuditRecord) -> None:
    logs.event(
        "audit",
        sequence=record.sequence,
        at_unix_ms=record.at_unix_ms,
        operator=record.operator_name,
        verb=ttypes.AuditVerb(record.verb).name.lower(),
        plan_id=record.plan_id,
        state_version=record.state_version,
        subjects=",".join(record.subjects),
        before=record.before,
        after=record.after,
        reason=record.reason,
    )
