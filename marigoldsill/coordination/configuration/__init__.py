"""Distribution of the configuration from the leader to the processes that watch it.

The package computes what a subscriber lacks and when it is notified.
Other packages import only the modules listed here.
"""

__all__ = [
    "endpoint_registry",
    "subscriber",
    "watch_hub",
    "watch_service",
]
