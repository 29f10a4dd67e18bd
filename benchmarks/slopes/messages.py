"""Counts the exact bytes of each message by the size of its content.

Run alone: `python -m benchmarks.slopes.messages`.
"""

from collections.abc import Callable
import itertools
import types

from thrift import TMultiplexedProcessor
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TMultiplexedProtocol
from thrift.transport import TTransport

from benchmarks.slopes import fit
from benchmarks.slopes import state_builder
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import Control
from marigoldsill.protocol.generated import Peer
from marigoldsill.protocol.generated import ttypes

SEGMENT_HEADER_BYTES = 52
"""Headers of TCP over IPv4 with the timestamp option. A call takes two segments
and about one more for the last acknowledgement, as replies carry the others."""

SEGMENTS_PER_CALL_COUNT = 3

sequences = itertools.count(1)
"""Sequence numbers of heartbeats; control ignores any that is not newer."""

_TASKS_COUNTS = (5, 15, 30, 60)
_SMALL_COUNTS = (1, 5, 20, 50)
_LARGE_COUNTS = (10, 100, 1_000)
_LEASE_MS = 3_000


def network_bytes(payload_bytes: float) -> float:
    """Returns the bytes of a call on the network, including headers."""
    return payload_bytes + SEGMENTS_PER_CALL_COUNT * SEGMENT_HEADER_BYTES


def call_bytes(
    client_class: Callable,
    module: types.ModuleType,
    method: str,
    *parts: object,
) -> int:
    """Returns the bytes of one call, both frames of request and reply.

    Args:
        client_class: Generated client.
        module: Generated module with the processor.
        method: Name of the method.
        *parts: The argument and the reply.
    """
    argument, reply = parts
    request_buffer = TTransport.TMemoryBuffer()
    name = module.__name__.rpartition(".")[2].lower()
    client = client_class(
        TMultiplexedProtocol.TMultiplexedProtocol(
            _framed_protocol(request_buffer), name
        )
    )
    getattr(client, f"send_{method}")(argument)
    request = request_buffer.getvalue()
    handler = types.SimpleNamespace(**{method: lambda _: reply})
    processor = TMultiplexedProcessor.TMultiplexedProcessor()
    processor.registerProcessor(name, module.Processor(handler))
    reply_buffer = TTransport.TMemoryBuffer()
    processor.process(
        _framed_protocol(TTransport.TMemoryBuffer(request)),
        _framed_protocol(reply_buffer),
    )
    return len(request) + len(reply_buffer.getvalue())


def make_heartbeat(
    *, tasks_count: int, events_count: int = 0
) -> ttypes.Heartbeat:
    """Returns a heartbeat with the usage of a number of tasks."""
    return ttypes.Heartbeat(
        agent=state_builder.worker_name(1),
        incarnation=1_790_000_000_000_000_000,
        sequence=next(sequences),
        events=[
            ttypes.RunEvent(
                task=state_builder.task_name(index),
                epoch=3,
                kind=ttypes.RunEventKind.STARTED,
                event_id=index,
            )
            for index in range(events_count)
        ],
        usage=[
            ttypes.Usage(
                task=state_builder.task_name(index),
                cpu_millicores=1_900,
                memory_bytes=8 << 30,
                age_ms=2_000,
                progress_ms=600_000,
            )
            for index in range(tasks_count)
        ],
    )


def heartbeat_bytes(tasks_count: int, events_count: int = 0) -> int:
    """Returns the bytes of a heartbeat and its reply."""
    reply = ttypes.HeartbeatReply(
        term=7,
        lease_ms=_LEASE_MS,
        acknowledged_events=list(range(events_count)),
    )
    sent = make_heartbeat(tasks_count=tasks_count, events_count=events_count)
    return call_bytes(Control.Client, Control, "heartbeat", sent, reply)


def watch_bytes(**fields: object) -> int:
    """Returns the bytes of a watch and its reply.

    Args:
        **fields: Fields of the reply, or `delta` for the configuration.
    """
    delta = fields.pop("delta", None)
    request = ttypes.WatchRequest(
        role=ttypes.Role.AGENT,
        subscriber=state_builder.worker_name(1),
        config_version=17_000,
        config_checksum=-(1 << 62),
        wait_ms=2_000,
    )
    empty_delta = ttypes.ConfigDelta(version=17_000, checksum=-(1 << 62))
    reply = ttypes.WatchReply(
        term=7, encoded_config=codec.encode(delta or empty_delta), **fields
    )
    return call_bytes(Control.Client, Control, "watch", request, reply)


def delta_bytes(services_count: int) -> int:
    """Returns the bytes of a watch whose reply has changed services."""
    delta = ttypes.ConfigDelta(
        version=17_000,
        checksum=-(1 << 62),
        services=[
            ttypes.Service(
                name=f"name-lookup-{index:03}",
                team=state_builder.team_name(index),
                resources=ttypes.Resources(cpu_millicores=2_000),
                command="lookup --index surnames",
            )
            for index in range(services_count)
        ],
        policy=ttypes.Policy(),
        items=[
            ttypes.ItemVersion(
                subject=f"service/name-lookup-{index:03}", version=17_000
            )
            for index in range(services_count)
        ],
    )
    return watch_bytes(delta=delta)


def orders_bytes(tasks_count: int) -> int:
    """Returns the bytes of a watch whose reply has all orders of a worker."""
    orders = [
        ttypes.Order(
            task=state_builder.task_name(index),
            epoch=3,
            desire=ttypes.Desire.RUN,
            kind=ttypes.Kind.BATCH_JOB,
            resources=ttypes.Resources(2_000, 8 << 30, 0),
            command=f"rebuild --club {index}",
            owner=state_builder.job_name(index),
            run_time_ms=3_600_000,
            started=True,
        )
        for index in range(tasks_count)
    ]
    return watch_bytes(orders=orders, orders_version=100_000)


def make_routes(routes_count: int) -> list[ttypes.Route]:
    """Returns routes of a hundred services."""
    return [
        ttypes.Route(
            agent=state_builder.worker_name(index),
            agent_address=state_builder.make_worker(index).agent_address,
            data_centre="dc1",
            service_name=f"name-lookup-{index % 100:03}",
            slots_count=10,
        )
        for index in range(routes_count)
    ]


def routes_bytes(routes_count: int) -> int:
    """Returns the bytes of a watch whose reply has all routes."""
    return watch_bytes(routes=make_routes(routes_count), routes_version=100_000)


def start_command_bytes(starts_count: int) -> int:
    """Returns the log bytes of a batch of grants and its start reports."""
    grants = [
        ttypes.Assignment(
            task=state_builder.task_name(index),
            epoch=3,
            worker=state_builder.worker_name(index),
            reserved=ttypes.Resources(2_000, 8 << 30, 0),
            reason=f"placed on {state_builder.worker_name(index)}",
        )
        for index in range(starts_count)
    ]
    started = state_builder.make_run_events(grants, ttypes.RunEventKind.STARTED)
    return command_bytes(
        assign_runs=ttypes.AssignRuns(assignments=grants)
    ) + command_bytes(record_run_events=ttypes.RecordRunEvents(events=started))


def command_bytes(**body: object) -> int:
    """Returns the bytes of one command in the log."""
    return len(
        codec.encode(
            ttypes.Command(
                command_id="00000000-0000-0000-0000-000000000000",
                proposed_unix_ms=1_790_000_000_000,
                **body,
            )
        )
    )


def append_bytes(entries_count: int) -> int:
    """Returns the bytes of an append with one claim per entry and its reply."""
    claim = ttypes.Claim(
        key="name-lookup-001/00000000-0000-0000-0000-000000000000",
        request_digest=bytes(32),
        entry="dc1-entry-1",
        agent="",
        expires_unix_ms=1_790_000_000_000,
    )
    command = codec.encode(
        ttypes.Command(
            command_id="00000000-0000-0000-0000-000000000000",
            proposed_unix_ms=1_790_000_000_000,
            put_claim=ttypes.PutClaim(claim=claim),
        )
    )
    request = ttypes.AppendRequest(
        term=7,
        leader="control-1",
        previous_index=1_000_000,
        previous_term=7,
        entries=[
            ttypes.LogEntry(index=index, term=7, command=command)
            for index in range(entries_count)
        ],
        commit_index=1_000_000,
    )
    reply = ttypes.AppendReply(term=7, success=True, match_index=1_000_000)
    return call_bytes(Peer.Client, Peer, "append_entries", request, reply)


def measure() -> list[fit.Slope]:
    """Measures the slopes of all messages."""
    return [
        fit.measure_line(
            "heartbeat bytes",
            _SMALL_COUNTS,
            heartbeat_bytes,
            unit="bytes",
            per="measurement",
            bound=120,
        ),
        fit.measure_line(
            "heartbeat event bytes",
            _SMALL_COUNTS,
            lambda count: heartbeat_bytes(0, count),
            unit="bytes",
            per="run event",
            bound=120,
        ),
        fit.measure_line(
            "orders bytes",
            _TASKS_COUNTS,
            orders_bytes,
            unit="bytes",
            per="task on the worker",
            bound=260,
        ),
        fit.measure_line(
            "configuration bytes",
            _SMALL_COUNTS,
            delta_bytes,
            unit="bytes",
            per="changed service",
            bound=280,
        ),
        fit.measure_line(
            "routes bytes",
            _LARGE_COUNTS,
            routes_bytes,
            unit="bytes",
            per="route",
            bound=130,
        ),
        fit.measure_line(
            "start log bytes",
            _LARGE_COUNTS,
            start_command_bytes,
            unit="bytes",
            per="start",
            bound=300,
        ),
        fit.measure_line(
            "append bytes",
            _LARGE_COUNTS,
            append_bytes,
            unit="bytes",
            per="claim entry",
            bound=400,
        ),
    ]


def _framed_protocol(buffer: TTransport.TMemoryBuffer) -> object:
    return TBinaryProtocol.TBinaryProtocolAccelerated(
        TTransport.TFramedTransport(buffer)
    )


if __name__ == "__main__":
    fit.print_slopes(measure())
