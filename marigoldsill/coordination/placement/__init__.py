"""Which worker takes a task, and what gives way for it.

The room decides where there is room, who shares it, and who is moved.
Other rooms use the modules listed here only.
"""

__all__ = [
    "eviction",
    "facts",
    "feasibility",
    "fleet",
    "forecast",
    "moves",
    "preview",
    "relief",
    "sharing",
    "starts",
]
