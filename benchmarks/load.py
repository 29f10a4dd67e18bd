"""An open-loop load generator: its request rate is independent of the answers.

Latency is measured from the intended time of sending, so that requests that
queue behind a stall of the system count in full. Each answer is checked against
its own request. Run as `python -m benchmarks.load --help`.
"""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import hashlib
import itertools
import json
import pathlib
import random
import sys
import threading
import time

import click
from hdrh import histogram

from marigoldsill import errors
from marigoldsill.transport import http_client

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_LOST_OUTCOME = "lost"
_SUCCESS_STATUSES = range(200, 300)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LoadSettings:
    """Settings of a load.

    Attributes:
        addresses: Addresses of entries, used in turn.
        service: Name of the service.
        rate_per_s: Requests started per second.
        duration_s: Period in which requests are started.
        work_ms: Time that an endpoint works on each request.
        keyed_share: Share of requests that are not idempotent.
        timeout_ms: Deadline given by callers; 0 for the service's default.
        client_delay_ms: One-way delay between callers and entries, which is
            added to latencies.
        repeats_count: Number of times that a caller repeats a failed request.
        heeds_retry_after: Whether a caller waits for the given time before it
            repeats a request.
        threads_count: Maximum number of concurrent requests.
        direct: Whether the addresses are endpoints instead of entries.
        prefix: Prefix of the callers' ids.
        seed: Seed of all random choices.
    """

    addresses: tuple[str, ...]
    service: str = "lookup"
    rate_per_s: float = 100.0
    duration_s: float = 5.0
    work_ms: int = 20
    keyed_share: float = 0.0
    timeout_ms: int = 0
    client_delay_ms: float = 0.0
    repeats_count: int = 0
    heeds_retry_after: bool = True
    threads_count: int = 200
    direct: bool = False
    prefix: str = "c"
    seed: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """One answer to a caller.

    Attributes:
        status_code: HTTP status; 0 if the connection failed.
        outcome: Outcome of the request as given by the entry, or "lost".
        whole: Whether it is the complete answer to the caller's own request.
        retry_after_ms: Time after which to retry, or -1 if not given.
        error: Name of the error, or empty.
        address: Address that the request was sent to.
        sent_s: When it was sent, on the monotonic clock.
        ended_s: When the answer was complete or the connection failed.
    """

    status_code: int
    outcome: str
    whole: bool
    retry_after_ms: int
    error: str
    address: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return self.status_code in _SUCCESS_STATUSES


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRecord:
    """One request with the answers to it and its repeats."""

    caller_id: str
    key: str
    latency_us: int
    started_s: float
    replies: tuple[Reply, ...]

    @property
    def last_reply(self) -> Reply:
        """The last answer to the caller."""
        return self.replies[-1]

    @property
    def is_good(self) -> bool:
        """Whether the last answer is successful, complete and the caller's."""
        return self.last_reply.is_success and self.last_reply.whole


class LoadGenerator:
    """Sends requests at the set rate and records their answers."""

    def __init__(self, settings: LoadSettings):
        self._settings = settings
        self._addresses = settings.addresses
        self._client = http_client.Client(
            idle_limit_count=settings.threads_count
        )
        self._random = random.Random(settings.seed)
        self._request_numbers = itertools.count()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def run(self) -> list[RequestRecord]:
        """Sends all requests and returns a record of each."""
        settings = self._settings
        start_s = time.monotonic()
        with futures.ThreadPoolExecutor(settings.threads_count) as pool:
            senders = [
                pool.submit(self._send_all, start_s)
                for _ in range(settings.threads_count)
            ]
        return list(itertools.chain.from_iterable(s.result() for s in senders))

    def set_addresses(self, addresses: tuple[str, ...]) -> None:
        """Sends further requests to other entries, as a load balancer does."""
        self._addresses = addresses

    def stop(self) -> None:
        """Stops starting requests."""
        self._stopping.set()

    def _send_all(self, start_s: float) -> list[RequestRecord]:
        settings = self._settings
        records = []
        while not self._stopping.is_set():
            with self._lock:
                number = next(self._request_numbers)
                keyed = self._random.random() < settings.keyed_share
            due_s = number / settings.rate_per_s
            if due_s >= settings.duration_s:
                break
            delay_s = settings.client_delay_ms / 1000
            pause_s = start_s + due_s + delay_s - time.monotonic()
            if pause_s > 0 and self._stopping.wait(pause_s):
                break
            records.append(self._send(number, keyed, start_s + due_s))
        return records

    def _send(self, number: int, keyed: bool, due_s: float) -> RequestRecord:
        caller_id = f"{self._settings.prefix}-{number}"
        replies: list[Reply] = []
        for repeat in range(self._settings.repeats_count + 1):
            addresses = self._addresses
            address = addresses[(number + repeat) % len(addresses)]
            sent_s = time.monotonic()
            reply = dataclasses.replace(
                self._send_once(address, caller_id, keyed),
                address=address,
                sent_s=sent_s,
                ended_s=time.monotonic(),
            )
            replies.append(reply)
            if reply.is_success or not self._may_repeat(reply, keyed):
                break
            if self._settings.heeds_retry_after:
                time.sleep(max(reply.retry_after_ms, 100) / 1000)
        latency_s = (
            time.monotonic() - due_s + self._settings.client_delay_ms / 1000
        )
        return RequestRecord(
            caller_id,
            caller_id if keyed else "",
            int(latency_s * 1_000_000),
            due_s,
            tuple(replies),
        )

    def _may_repeat(self, reply: Reply, keyed: bool) -> bool:
        return reply.outcome != "answered" or not keyed

    def _send_once(self, address: str, caller_id: str, keyed: bool) -> Reply:
        settings = self._settings
        body = caller_id.encode() if keyed else b""
        headers = [("X-Request-Id", caller_id)]
        if settings.direct:
            headers = [("X-Caller-Request-Id", caller_id)]
        if keyed:
            headers.append(("Idempotency-Key", caller_id))
        if settings.timeout_ms:
            headers.append(("X-Timeout-Ms", str(settings.timeout_ms)))
        prefix = "" if settings.direct else f"/services/{settings.service}"
        try:
            answer = self._client.fetch(
                address,
                f"{prefix}/ask?work_ms={settings.work_ms}",
                method="POST" if keyed else "GET",
                body=body,
                headers=tuple(headers),
                timeout_s=30.0,
                new_connection=False,
            )
        except errors.TransportError as error:
            return Reply(0, _LOST_OUTCOME, False, -1, error.message)
        return _parse_answer(answer, caller_id, body)


def _parse_answer(
    answer: http_client.HttpResponse, caller_id: str, body: bytes
) -> Reply:
    outcome = answer.header("x-request-outcome", "answered")
    retry_after_ms, error = -1, ""
    if answer.header("content-type") == "application/json":
        document = json.loads(answer.body)
        retry_after_ms = document.get("retry_after_ms", -1)
        error = document.get("error", "")
    digest = hashlib.sha256(body).hexdigest()[:16]
    expected_end = f" caller={caller_id} body={digest}".encode()
    return Reply(
        answer.status_code,
        outcome,
        answer.body.endswith(expected_end),
        retry_after_ms,
        error,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """Comparison of the answers to callers with the requests that ran.

    Attributes:
        asked_count: Number of requests.
        good_count: Requests whose last answer was successful, complete and
            their own.
        wrong_count: Successful answers that were incomplete or of another
            request.
        lost_count: Requests that ended without any answer.
        duplicated_count: Keys that ran more than once.
        falsely_not_run_count: Requests reported as "not run" that had run.
        unknown_count: Requests that ended with an unknown outcome.
        not_good: The requests whose last answer was not good.
    """

    asked_count: int
    good_count: int
    wrong_count: int
    lost_count: int
    duplicated_count: int
    falsely_not_run_count: int
    unknown_count: int
    not_good: tuple[RequestRecord, ...] = dataclasses.field(repr=False)


def check_records(
    records: Iterable[RequestRecord], events: Iterable[dict]
) -> Verdict:
    """Compares the answers to callers with the endpoints' journals."""
    records = list(records)
    run_counts: dict[str, int] = {}
    for event in events:
        if event["event"] == "request_began":
            run_counts[event["caller_id"]] = (
                run_counts.get(event["caller_id"], 0) + 1
            )

    def last_outcome(record: RequestRecord) -> str:
        return record.last_reply.outcome

    return Verdict(
        asked_count=len(records),
        good_count=sum(r.is_good for r in records),
        wrong_count=sum(
            reply.is_success and not reply.whole
            for r in records
            for reply in r.replies
        ),
        lost_count=sum(last_outcome(r) == _LOST_OUTCOME for r in records),
        duplicated_count=sum(
            bool(r.key) and run_counts.get(r.caller_id, 0) > 1 for r in records
        ),
        falsely_not_run_count=sum(
            _was_told_not_run(r) and r.caller_id in run_counts for r in records
        ),
        unknown_count=sum(last_outcome(r) == "unknown" for r in records),
        not_good=tuple(r for r in records if not r.is_good),
    )


def _was_told_not_run(record: RequestRecord) -> bool:
    """Returns whether a caller was only told that nothing was run.

    Without a key, each repeat is a request of its own. With a key, "not-run"
    refers to all calls with the key and "call-not-run" only to the last.
    """
    outcomes = {reply.outcome for reply in record.replies}
    if record.key and record.last_reply.outcome == "not-run":
        return True
    return outcomes <= {"not-run", "call-not-run"}


def latency_histogram(
    records: Iterable[RequestRecord],
    *,
    chosen: Callable[[RequestRecord], bool] | None = None,
) -> histogram.HdrHistogram:
    """Returns latencies in microseconds, of successful requests by default."""
    latencies = histogram.HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    is_chosen = chosen or (lambda record: record.last_reply.is_success)
    for record in records:
        if is_chosen(record):
            latencies.record_value(max(_MIN_LATENCY_US, record.latency_us))
    return latencies


def read_records(path: pathlib.Path) -> list[RequestRecord]:
    """Reads the records that another process of this tool wrote."""
    rows = (json.loads(line) for line in path.read_text().splitlines())
    return [
        RequestRecord(
            **(row | {"replies": tuple(Reply(**r) for r in row["replies"])})
        )
        for row in rows
    ]


def summarize(records: list[RequestRecord]) -> dict[str, object]:
    """Returns a short summary of a load for display."""
    latencies = latency_histogram(records)
    last_replies = (
        f"{r.last_reply.status_code} {r.last_reply.outcome}" for r in records
    )
    counts: dict[str, int] = {}
    for reply in last_replies:
        counts[reply] = counts.get(reply, 0) + 1
    return {
        "asked": len(records),
        "ends": counts,
        "latency_ms": {
            f"p{p}": latencies.get_value_at_percentile(p) / 1000
            for p in (50, 99, 99.9)
        },
    }


@click.command()
@click.option("--addresses", required=True, help="Separated by commas.")
@click.option("--service", default="lookup")
@click.option("--rate-per-s", default=100.0)
@click.option("--duration-s", default=5.0)
@click.option("--work-ms", default=20)
@click.option("--keyed-share", default=0.0)
@click.option("--timeout-ms", default=0)
@click.option("--client-delay-ms", default=0.0)
@click.option("--repeats-count", default=0)
@click.option("--heeds-retry-after/--storm", default=True)
@click.option("--threads-count", default=200)
@click.option("--direct", is_flag=True, help="Addresses are endpoints.")
@click.option("--prefix", default="c")
@click.option("--seed", default=1)
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None, addresses: str, **values) -> None:
    """Generates open-loop load on entries and checks each answer."""
    settings = LoadSettings(addresses=tuple(addresses.split(",")), **values)
    records = LoadGenerator(settings).run()
    if output is not None:
        lines = (json.dumps(dataclasses.asdict(r)) for r in records)
        output.write_text("".join(f"{line}\n" for line in lines))
    json.dump(summarize(records), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
