"""Converts records and errors to JSON values for operators and callers, and back."""

import enum

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes

_HEX_LIMIT_BYTES = 256
# The enum fields: a decoded record holds plain integers instead of enum members.
_ENUM_FIELDS = {
    (ttypes.Task, "kind"): ttypes.Kind,
    (ttypes.Task, "state"): ttypes.TaskState,
    (ttypes.Worker, "state"): ttypes.WorkerState,
    (ttypes.Change, "verb"): ttypes.ChangeVerb,
    (ttypes.Effect, "verb"): ttypes.EffectVerb,
    (ttypes.Plan, "state"): ttypes.PlanState,
    (ttypes.AuditRecord, "verb"): ttypes.AuditVerb,
    (ttypes.Claim, "state"): ttypes.ClaimState,
}


def record_to_json(record: object) -> object:
    """Converts a generated record to JSON values, without its unset fields."""
    slots = getattr(type(record), "__slots__", None)
    if isinstance(record, enum.Enum):
        return record.name.lower()
    if isinstance(record, list):
        return [record_to_json(item) for item in record]
    if isinstance(record, bytes):
        return record[:_HEX_LIMIT_BYTES].hex()
    if slots is None:
        return record
    values = ((slot, _field_value(record, slot)) for slot in slots)
    return {k: record_to_json(v) for k, v in values if v is not None}


def _field_value(record: object, slot: str) -> object:
    value = getattr(record, slot)
    enum_class = _ENUM_FIELDS.get((type(record), slot))
    return value if enum_class is None or value is None else enum_class(value)


def error_to_json(error: errors.MarigoldsillError) -> dict[str, object]:
    """Converts an error to the JSON object that operators and callers receive."""
    shape = {"error": error.kind, "message": error.message}
    if error.retry_after_ms is not None:
        shape["retry_after_ms"] = error.retry_after_ms
    if isinstance(error, errors.NotLeaderError):
        shape["leader_http"] = error.leader_http
    return shape


def error_from_json(shape: object) -> errors.MarigoldsillError:
    """Converts the result of `error_to_json` back to the error."""
    if not isinstance(shape, dict):
        return errors.MarigoldsillError(
            f"invalid error {shape!r}: expected a JSON object"
        )
    error_class = getattr(errors, str(shape.get("error")), None)
    message = str(shape.get("message", ""))
    match error_class:
        case errors.NotLeaderError:
            leader_http = str(shape.get("leader_http", ""))
            return error_class(message, leader_http=leader_http)
        case errors.TransportError:
            return error_class(message, sent=True)
        case type() if issubclass(error_class, errors.MarigoldsillError):
            return error_class(
                message, retry_after_ms=shape.get("retry_after_ms")
            )
        case _:
            return errors.MarigoldsillError(message)
