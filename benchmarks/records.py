"""Measures what using generated records as the only data classes saves.

The alternative is a second set of data classes, converted to and from the
generated ones at the border. All figures are ratios within one run.
"""

from collections.abc import Callable
import dataclasses
import time

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from benchmarks import table
from benchmarks.slopes import state_builder
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes

_RECORDS_COUNT = 2_000
_REPEATS_COUNT = 5
_FIELDS = ttypes.Task.__slots__
_ConvertedTask = dataclasses.make_dataclass(
    "_ConvertedTask", _FIELDS, slots=True
)


def run() -> list[table.Row]:
    """Compares decoding with decoding and converting, and both protocols."""
    tables = state_builder.build_running_tables(
        workers_count=100, tasks_count=_RECORDS_COUNT
    )
    snapshot = ttypes.TablesSnapshot(tasks=list(tables.tasks.values()))
    data = codec.encode(snapshot)
    decode_s = _min_cpu_s(lambda: codec.decode(ttypes.TablesSnapshot(), data))
    converted_s = _min_cpu_s(lambda: _decode_and_convert(data))
    unaccelerated_s = _min_cpu_s(lambda: _decode_unaccelerated(data))
    return [
        table.Row(
            "records: decode and convert / decode",
            converted_s / decode_s,
            "ratio",
        ),
        table.Row(
            "records: unaccelerated decode / accelerated",
            unaccelerated_s / decode_s,
            "ratio",
            5.0,
            "min",
        ),
    ]


def _decode_and_convert(data: bytes) -> list[object]:
    snapshot = codec.decode(ttypes.TablesSnapshot(), data)
    return [
        _ConvertedTask(*[getattr(task, name) for name in _FIELDS])
        for task in snapshot.tasks
    ]


def _decode_unaccelerated(data: bytes) -> ttypes.TablesSnapshot:
    snapshot = ttypes.TablesSnapshot()
    buffer = TTransport.TMemoryBuffer(data)
    snapshot.read(TBinaryProtocol.TBinaryProtocol(buffer))
    return snapshot


def _min_cpu_s(action: Callable[[], object]) -> float:
    def run_once_s() -> float:
        start_s = time.thread_time()
        action()
        return time.thread_time() - start_s

    return min(run_once_s() for _ in range(_REPEATS_COUNT))


if __name__ == "__main__":
    print(table.render(run()), end="")
