"""Tells when a stream ends from its own events."""

import typing as t

MIN_EVENTS: t.Final = 4
# An engine may become this much slower as others send it more.
SLOWDOWN_FACTOR: t.Final = 2.0
# Covers a pause of an engine.
PAUSE_S: t.Final = 0.5


class RunPace:
    """The pace at which a stream's events arrive."""

    def __init__(self) -> None:
        self.first_id: int | None = None
        self.last_id = 0
        self.first_at = 0.0
        self.last_at = 0.0
        self.longest_pause_s = 0.0

    def record(self, event_id: int | None, now: float) -> None:
        """Record that events have arrived.

        :param event_id: of the last of them; ``None`` if it has none.
        """
        if event_id is None:
            return
        if self.first_id is None:
            self.first_id, self.first_at = event_id, now
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_id, self.last_at = event_id, now

    def longest_s(self, final_id: int) -> float:
        """Return how long the rest takes at most; infinite if unknown.

        :param final_id: highest id that the last event may have.
        """
        if self.first_id is None or final_id < self.last_id:
            return float('inf')
        events = self.last_id - self.first_id
        if events < MIN_EVENTS:
            return float('inf')
        event_s = (self.last_at - self.first_at) / events
        rest_s = event_s * (final_id - self.last_id) + self.longest_pause_s
        return SLOWDOWN_FACTOR * rest_s + PAUSE_S
