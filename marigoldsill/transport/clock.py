"""The clock by which leases and deadlines are counted."""

import time


def now_s() -> float:
    """Seconds since the machine started, its time asleep included.

    The plain monotonic clock stands still while a machine is suspended, so a
    lease counted by it would be too long by that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
