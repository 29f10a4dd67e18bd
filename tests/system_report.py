"""Describes a system of a test that failed: metrics, logs and journals."""

import re

from marigoldsill import errors
from tests import processes

_LOG_LINES_LIMIT = 30
_JOURNAL_EVENTS_LIMIT = 10
_METRIC = re.compile(
    r"marigoldsill_(requests|retries|retries_denied|abandoned_attempts|"
    r"late_answers|ejections|claims|claim_ends_pending|agent_refusals|"
    r"agent_cancels)(_total)?[ {]"
)


def describe(system: processes.System) -> str:
    """Returns what each process last wrote and counts of its requests."""
    sections = [
        _describe_process(system, name, process)
        for name, process in system.processes.items()
    ]
    sections += [_describe_journal(system, name) for name in system.workers]
    return "\n".join(sections)


def _describe_process(
    system: processes.System, name: str, process: processes.Process
) -> str:
    status = process.status()
    lines = [f"--- {name}: {status}"]
    if status == "running":
        lines += _read_metrics(system, process)
    return "\n".join(lines + process.text().splitlines()[-_LOG_LINES_LIMIT:])


def _read_metrics(
    system: processes.System, process: processes.Process
) -> list[str]:
    address = process.known_addresses().get("http")
    if address is None:
        return []
    try:
        text = system.get(address, "/metrics").body.decode()
    except errors.TransportError as error:
        return [error.message]
    return [line for line in text.splitlines() if _METRIC.match(line)]


def _describe_journal(system: processes.System, worker: str) -> str:
    events = system.events(worker)
    counts: dict[str, int] = {}
    for event in events:
        counts[event["event"]] = counts.get(event["event"], 0) + 1
    last = [
        f"{e['at_ns'] / 1e9:.3f} s {e}" for e in events[-_JOURNAL_EVENTS_LIMIT:]
    ]
    return "\n".join([f"--- journal of {worker}: {counts}", *last])
