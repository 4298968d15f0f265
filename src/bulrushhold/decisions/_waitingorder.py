"""The order of the streams of one entry that wait without a home."""

import collections.abc as cabc
import contextlib
import itertools

import attrs


@attrs.frozen(order=True)
class Waiter:
    """A waiting stream; the lowest one is the next to be placed.

    :param since: when its caller started to wait.
    """

    priority: int
    since: float
    number: int


class WaitingOrder:
    """Orders the waiting streams of each service by priority, then by age."""

    def __init__(self) -> None:
        self.services: dict[str, set[Waiter]] = {}
        self.numbers = itertools.count()

    @contextlib.contextmanager
    def join(
        self, service: str, priority: int, since: float
    ) -> cabc.Iterator[Waiter]:
        """Add a stream while it waits."""
        waiter = Waiter(priority, since, next(self.numbers))
        waiters = self.services.setdefault(service, set())
        waiters.add(waiter)
        try:
            yield waiter
        finally:
            waiters.discard(waiter)
            if not waiters:
                self.services.pop(service, None)

    def is_first(self, service: str, waiter: Waiter) -> bool:
        """Return whether a stream is the next one to be placed."""
        return min(self.services[service]) == waiter

    def count(self, service: str) -> int:
        """Return the number of waiting streams."""
        return len(self.services.get(service, ()))
