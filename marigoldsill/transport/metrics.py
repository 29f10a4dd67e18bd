"""Metrics of a process in the Prometheus text format."""

import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


def render() -> bytes:
    """Returns all metrics of this process."""
    return prometheus_client.generate_latest()
