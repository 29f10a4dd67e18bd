"""The clock that measures leases and deadlines."""

import time


def now_s() -> float:
    """Returns the seconds since the machine booted, including suspended time.

    The plain monotonic clock stops while a machine is suspended, so a lease
    measured with it would last too long by that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
