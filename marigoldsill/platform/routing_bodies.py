"""Decodes the configuration, which operators of the platform replace as a whole."""

import collections

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.protocol.generated import ttypes


def decode(body: bytes) -> ttypes.Routing:
    """Decodes a configuration.

    Raises:
        BadInputError: A field is missing or invalid, a route names an unknown
            service, two routes have the same host and prefix, or a timeout is 0.
    """
    table = fields_module.decode_json(body, where="the configuration")
    pools = [
        _decode_pool(item)
        for item in table.get_tables("services", required=True)
    ]
    queues = [
        _decode_queue(item)
        for item in table.get_tables("routes", required=True)
    ]
    table.get_table("limits", required=True)
    _check_pools(queues, pools)
    _check_unique_prefixes(queues)
    return ttypes.Routing(
        version=table.get_integer("version"),
        queues=queues,
        pools=pools,
        document=body,
    )


def _decode_pool(service: fields_module.Fields) -> ttypes.Pool:
    return ttypes.Pool(
        name=service.get_string("name"),
        guards_capacity=service.get_boolean("enforce_limits"),
        standby=service.get_boolean("standby"),
    )


def _decode_queue(route: fields_module.Fields) -> ttypes.Queue:
    # "recommendation" describes how the adviser answers; a queue without it needs
    # no tickets.
    advice = route.get_raw_table("recommendation")
    advice_fields = fields_module.Fields(advice, where="recommendation")
    return ttypes.Queue(
        name=route.get_string("name"),
        host=route.get_string("host"),
        path_prefix=route.get_string("path_prefix"),
        pool=route.get_string("service"),
        priority=route.get_integer("priority", default=0),
        attempts_limit=route.get_integer("max_attempts", default=1, low=1),
        stretch_ratio=route.get_number("stretch_factor", default=1.0),
        latency_target_ms=route.get_integer("target_latency_ms", default=0),
        timeout_ms=route.get_integer("timeout_ms", low=1),
        advised=bool(advice),
        advice_decision_ms=int(
            advice_fields.get_number("decision_ms", default=0)
        ),
        advice_period_ms=int(advice_fields.get_number("period_ms", default=0)),
        advice_validity_ms=int(
            advice_fields.get_number("validity_ms", default=0)
        ),
    )


def _check_pools(queues: list[ttypes.Queue], pools: list[ttypes.Pool]) -> None:
    """Checks that each queue's pool exists."""
    names = {pool.name for pool in pools}
    unknown = [queue for queue in queues if queue.pool not in names]
    if unknown:
        raise errors.BadInputError(
            f"route {unknown[0].name!r} names service {unknown[0].pool!r}; "
            f"known are {', '.join(sorted(names)) or 'none'}"
        )


def _check_unique_prefixes(queues: list[ttypes.Queue]) -> None:
    """Checks that no two queues have the same host and path prefix."""
    counts = collections.Counter(
        (q.host.lower(), q.path_prefix) for q in queues
    )
    for (host, path_prefix), count in counts.items():
        if count > 1:
            raise errors.BadInputError(
                f"{count} routes have host {host!r} and prefix {path_prefix!r}; "
                "accepted is one"
            )
