"""Copies generated records, which are not changed in place."""

from typing import TypeVar

_Record = TypeVar("_Record")


def replace(record: _Record, **fields: object) -> _Record:
    """Returns a copy of a generated record with some fields replaced."""
    record_class = type(record)
    values = {slot: getattr(record, slot) for slot in record_class.__slots__}
    return record_class(**(values | fields))
