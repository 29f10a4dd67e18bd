"""Describes the requests of a load that were not answered well."""

from collections.abc import Iterable

from benchmarks import load

_REQUESTS_LIMIT = 40


def describe(verdict: load.Verdict, *, addresses: dict[str, str]) -> str:
    """Returns a verdict with all replies to each request that is not good.

    Args:
        verdict: The verdict.
        addresses: Addresses of the entries, by name.
    """
    names = {address: name for name, address in addresses.items()}
    lines = [repr(verdict)]
    for record in verdict.not_good[:_REQUESTS_LIMIT]:
        kind = "with a key" if record.key else "without a key"
        lines.append(
            f"{record.caller_id} {kind}, due at {record.started_s:.3f} s:"
        )
        lines += _describe_replies(record.replies, names)
    omitted_count = len(verdict.not_good) - _REQUESTS_LIMIT
    if omitted_count > 0:
        lines.append(f"{omitted_count} more requests are not good")
    return "\n".join(lines)


def _describe_replies(
    replies: Iterable[load.Reply], names: dict[str, str]
) -> list[str]:
    return [
        f"  {r.sent_s:.3f} to {r.ended_s:.3f} s "
        f"{names.get(r.address, r.address)}: {r.status_code} {r.outcome}"
        f" retry_after_ms={r.retry_after_ms} {r.error}"
        f"{'' if r.whole or not r.is_success else ' not whole'}"
        for r in replies
    ]
