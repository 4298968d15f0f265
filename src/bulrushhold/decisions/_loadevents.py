"""The events that control processes pass on beside loads."""

import attrs

from bulrushhold import messages


@attrs.frozen
class Event:
    """A loss, replacement, crash or limit, numbered in order of arrival.

    :param local: reported by an entry of this process.
    """

    number: int
    at: float
    local: bool
    lost: str = ''
    replaced: str = ''
    crash: messages.CrashReport | None = None
    limit: messages.ServerLimit | None = None

    @property
    def key(self) -> tuple[str, ...]:
        """Identifies the event, whose age may differ between reports."""
        crash = self.crash
        crash_key = (crash.fingerprint, crash.engine) if crash else ('', '')
        return (self.lost, self.replaced, *crash_key)

    def crash_now(self, now: float) -> messages.CrashReport:
        """Return the crash with its present age."""
        assert self.crash is not None
        age_s = self.crash.age_s + max(0.0, now - self.at)
        return attrs.evolve(self.crash, age_s=round(age_s, 3))

    def limit_now(self, now: float) -> messages.ServerLimit:
        """Return the limit with its present age."""
        assert self.limit is not None
        age_s = self.limit.age_s + max(0.0, now - self.at)
        return attrs.evolve(self.limit, age_s=round(age_s, 3))


@attrs.frozen
class BlockEvent:
    """The block of a request, kept until its end.

    :param number: see :class:`Event`.
    """

    number: int
    until: float
    local: bool
    block: messages.RequestBlock

    def now(self, now: float) -> messages.RequestBlock:
        """Return the block with its present remaining time."""
        remaining_s = round(max(0.0, self.until - now), 3)
        return attrs.evolve(self.block, remaining_s=remaining_s)


def limit_as_of(event: Event) -> float:
    """Return when a server named the limit of an event."""
    assert event.limit is not None
    return event.at - event.limit.age_s
