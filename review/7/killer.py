"""Kills a process while it writes to a file that only grows.

Arguments: the file and the process.

A file system takes a large write in steps of a few KB to a few MB, and a kill
ends the write after the step that it meets.
"""

import os
import signal
import sys
import time

WAIT_S = 20.0
# Of a write of 2.1 MB. With large steps, the last one of them is the next.
LEAST_BYTES = 1_600_000
LEAST_BYTES_IN_LARGE_STEPS = 1_000_000
LARGE_STEP_BYTES = 200_000


def wait_for_write(descriptor: int, before: int) -> None:
    """Return as soon as most of a write is there."""
    deadline = time.monotonic() + WAIT_S
    size, step = before, 0
    while size - before < LEAST_BYTES:
        if (
            step >= LARGE_STEP_BYTES
            and size - before >= LEAST_BYTES_IN_LARGE_STEPS
        ):
            return
        found = os.fstat(descriptor).st_size
        if found != size:
            size, step = found, found - size
        elif time.monotonic() > deadline:
            sys.exit('nothing was written')


def main() -> None:
    """Wait for the write, and print how many bytes of it are there."""
    path, pid = sys.argv[1], int(sys.argv[2])
    descriptor = os.open(path, os.O_RDONLY)
    before = os.fstat(descriptor).st_size
    wait_for_write(descriptor, before)
    os.kill(pid, signal.SIGKILL)
    time.sleep(0.2)
    print(os.fstat(descriptor).st_size - before)


if __name__ == '__main__':
    main()
