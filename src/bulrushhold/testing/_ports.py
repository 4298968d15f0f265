"""Allocation of loopback ports for the processes of a deployment."""

import contextlib
import functools
import itertools
import socket
import typing as t

# Below the range from which systems choose ports of outgoing connections,
# which could otherwise take a port before its process binds it.
FIRST_PORT: t.Final = 10_000
LAST_PORT: t.Final = 19_999
BLOCK_SIZE: t.Final = 500


class PortBlock:
    """Exclusive use of a range of ports while this object exists.

    Other test runs on the machine use other blocks. The first port of a
    block is bound as its lock.

    :raises RuntimeError: if all blocks are in use.
    """

    def __init__(self) -> None:
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
            lock = _try_bind(first)
            if lock is not None:
                # A listening socket prevents a second bind.
                lock.listen()
                self.lock = lock
                self.ports = range(first + 1, first + BLOCK_SIZE)
                self._next_ports = itertools.cycle(self.ports)
                return
        raise RuntimeError('every block of loopback ports is in use')

    def take(self, count: int) -> list[int]:
        """Return distinct ports that no process uses.

        :raises RuntimeError: if the block has too few.
        """
        with contextlib.ExitStack() as stack:
            taken: list[int] = []
            for port in itertools.islice(self._next_ports, len(self.ports)):
                if len(taken) == count:
                    break
                bound = _try_bind(port)
                if bound is not None:
                    stack.enter_context(bound)
                    taken.append(port)
        if len(taken) < count:
            raise RuntimeError(f'fewer than {count} free loopback ports')
        return taken

    def close(self) -> None:
        """Give the block up."""
        self.lock.close()


def _try_bind(port: int) -> socket.socket | None:
    bound = socket.socket()
    try:
        bound.bind(('127.0.0.1', port))
    except OSError:
        bound.close()
        return None
    return bound


@functools.cache
def _own_block() -> PortBlock:
    return PortBlock()


def free_ports(count: int) -> list[int]:
    """Return distinct free loopback ports from this process's block."""
    return _own_block().take(count)
