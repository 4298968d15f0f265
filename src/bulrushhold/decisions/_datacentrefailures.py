"""Tell data centres whose backend servers fail together."""

import collections
import typing as t

# Engines of one data centre that fail within this time mark the whole data
# centre as failing for as long: it has lost power, or is cut off.
WINDOW_S: t.Final = 1.3
MIN_FAILURES: t.Final = 2
MAX_FAILURES: t.Final = 8

# Service and data centre.
Location = tuple[str, str]


class DataCentreFailures:
    """Recent failures by service and data centre."""

    def __init__(self) -> None:
        self.recent: dict[Location, collections.deque[tuple[float, str]]] = {}

    def record(self, location: Location, ident: str, now: float) -> None:
        """Record that a server failed."""
        recent = self.recent.get(location)
        if recent is None:
            self._drop_calm(now)
            recent = collections.deque(maxlen=MAX_FAILURES)
            self.recent[location] = recent
        _drop_old(recent, now)
        if all(other != ident for _, other in recent):
            recent.append((now, ident))

    def _drop_calm(self, now: float) -> None:
        """Forget locations without failures: listed items name any zone."""
        for location, recent in list(self.recent.items()):
            _drop_old(recent, now)
            if not recent:
                del self.recent[location]

    def remove(self, location: Location, ident: str) -> None:
        """Remove the failure of a server that proved to be sound."""
        recent = self.recent.get(location, ())
        for failure in [f for f in recent if f[1] == ident]:
            self.recent[location].remove(failure)

    def forget(self, location: Location) -> None:
        """Forget the failures at a location."""
        self.recent.pop(location, None)

    def is_failing(self, location: Location, now: float) -> bool:
        """Return whether several servers have failed there together."""
        recent = self.recent.get(location)
        if not recent:
            return False
        _drop_old(recent, now)
        return len(recent) >= MIN_FAILURES

    def failing(self, service: str, now: float) -> set[str]:
        """Return the data centres where several servers failed together."""
        return {
            location[1]
            for location in self.recent
            if location[0] == service and self.is_failing(location, now)
        }


def _drop_old(
    failures: collections.deque[tuple[float, str]], now: float
) -> None:
    while failures and now - failures[0][0] > WINDOW_S:
        failures.popleft()
