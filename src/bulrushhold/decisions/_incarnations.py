"""Which start of an engine's process the list of engines describes.

An engine may start again under its ident, with other software. The list tells
its version late; until then the version that is listed is the former one.
"""

import typing as t

import attrs

# Added to the list's lag, for the way of a list to this entry.
LIST_MARGIN_S: t.Final = 0.3
# A process that started earlier is listed, even if clocks differ by seconds.
MIN_AGE_S: t.Final = 5.0


@attrs.frozen
class Start:
    """A start of an engine's process.

    :param started_ms: as the engine states it, in Unix milliseconds.
    :param seen_at: when this entry first got to know it.
    :param is_first: this entry knows of no earlier start.
    """

    started_ms: int
    seen_at: float
    is_first: bool


class Incarnations:
    """The starts of engines' processes, as they state them.

    :ivar max_lag_s: time after which the platform's list shows a change.
    """

    def __init__(self) -> None:
        self.max_lag_s = 1.0
        self.starts: dict[str, Start] = {}

    def retain(self, idents: t.Container[str]) -> None:
        """Forget the engines that are no longer listed."""
        self.starts = {
            ident: start
            for ident, start in self.starts.items()
            if ident in idents
        }

    def record(self, ident: str, started_ms: int, now: float) -> bool:
        """Record when an engine's process started; return if it is another.

        :param started_ms: Unix milliseconds, by the engine's clock.
        """
        start = self.starts.get(ident)
        if start is not None and start.started_ms == started_ms:
            return False
        self.starts[ident] = Start(started_ms, now, start is None)
        return start is not None

    def is_listed(self, ident: str, listed_at: float, unix_now: float) -> bool:
        """Return whether a list describes the newest known start.

        :param listed_at: when the list was read.
        :param unix_now: the time of day, which only tells old processes.
        """
        start = self.starts.get(ident)
        if start is None:
            return False
        if self.shows(listed_at, start.seen_at):
            return True
        age_s = unix_now - start.started_ms / 1000
        return start.is_first and age_s >= MIN_AGE_S

    def shows(self, listed_at: float, since: float) -> bool:
        """Return whether a list shows what was true at a time.

        :param listed_at: when the list was read.
        """
        return listed_at >= self.shown_from(since)

    def shown_from(self, since: float) -> float:
        """Return from when on lists show what was true at a time."""
        return since + self.max_lag_s + LIST_MARGIN_S
