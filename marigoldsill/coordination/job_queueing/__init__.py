"""Which waiting steps a round offers to the placement, and in which order.

The backlog ranks steps by urgency. The policies of this package run between it and
the placement: they reorder the ranked steps or hold some of them back. Without any
setting there are no policies, and the placement sees the backlog's order.
Other packages use only the modules listed here.
"""

__all__ = [
    "concurrency_limits",
    "job_concurrency",
    "offer_policies",
    "policy_chain",
    "share_order",
    "share_reclaimer",
    "shares",
    "usage",
]
