"""Kills a process while it writes to a file that only grows.

Arguments: the file, the process, and the bytes after which to kill it.
"""

import os
import signal
import sys
import time

WAIT_S = 20.0


def main() -> None:
    """Wait for the write, and print how many bytes of it are there."""
    path, pid, least = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    descriptor = os.open(path, os.O_RDONLY)
    before = os.fstat(descriptor).st_size
    deadline = time.monotonic() + WAIT_S
    while os.fstat(descriptor).st_size < before + least:
        if time.monotonic() > deadline:
            sys.exit('nothing was written')
    os.kill(pid, signal.SIGKILL)
    time.sleep(0.2)
    print(os.fstat(descriptor).st_size - before)


if __name__ == '__main__':
    main()
