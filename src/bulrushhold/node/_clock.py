"""The clock for promises that depend on how much time has gone by."""

import time


def boot_time() -> float:
    """Return seconds since the machine started, suspension included.

    ``time.monotonic`` stands still while a machine is suspended: a leader
    would wake up with its lease still running, long after the others
    elected another one, and answer a read with an old state.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
