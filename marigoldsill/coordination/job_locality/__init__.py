"""How the placement spreads tasks over racks and data centres.

The modules hold decisions without state of the cluster: how long a task waits for a
worker near its data, how a wide step is spread, and how a worker that has just
appeared is filled. The placement calls them. Other packages use only the modules
listed here.
"""

__all__ = [
    "locality",
    "locality_metrics",
    "locality_settings",
    "rack_affinity",
    "rack_forecast",
    "rack_spread",
    "rack_waits",
    "worker_ramp",
]
