"""Allocation of free loopback ports."""

import contextlib
import socket


def free_ports(count: int) -> list[int]:
    """Return distinct free loopback ports.

    The ports are not reserved; another process may bind one first.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in sockets]
