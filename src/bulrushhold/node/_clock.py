"""The clock for leases and timeouts of control processes."""

import time


def boot_time() -> float:
    """Return the seconds since boot, including time spent suspended.

    ``time.monotonic`` stops while a machine is suspended: a resumed leader
    would consider its expired lease valid and serve stale reads.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
