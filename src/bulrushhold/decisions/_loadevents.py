"""The events that control processes pass on beside loads."""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import messages

# Processes repeat what others haven't acknowledged. A loss that arrives again
# within this time is one that is over, if its engine has answered meanwhile.
LOSS_REPEATED_S: t.Final = 1.0


@attrs.frozen
class Event:
    """A loss, answer, replacement, crash or limit, numbered as it arrives.

    :param local: reported by an entry of this process.
    """

    number: int
    at: float
    local: bool
    lost: str = ''
    replaced: str = ''
    crash: messages.CrashReport | None = None
    limit: messages.ServerLimit | None = None
    answering: str = ''

    @property
    def key(self) -> tuple[str, ...]:
        """Identifies the event, whose age may differ between reports."""
        crash = self.crash
        crash_key = (crash.fingerprint, crash.engine) if crash else ('', '')
        return (self.lost, self.replaced, *crash_key, self.answering)

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


def losses_and_answers(
    events: cabc.Iterable[Event],
) -> tuple[list[str], list[str]]:
    """Return the engines that were lost, and those that have answered since.

    :param events: in order of arrival; the last one of an engine counts.
    """
    latest: dict[str, Event] = {}
    for event in events:
        ident = event.lost or event.answering
        if ident:
            latest.pop(ident, None)
            latest[ident] = event
    return (
        [event.lost for event in latest.values() if event.lost],
        [event.answering for event in latest.values() if event.answering],
    )


def is_repeated(event: Event, known: cabc.Iterable[Event]) -> bool:
    """Whether an event says nothing new.

    :param known: the earlier events, in order of arrival.
    """
    if not event.lost and not event.answering:
        return any(event.key == other.key for other in known)
    ident = event.lost or event.answering
    earlier = [e for e in known if ident in (e.lost, e.answering)]
    if not earlier:
        return False
    if event.answering:
        return bool(earlier[-1].answering)
    losses = [other for other in earlier if other.lost]
    if not losses or not earlier[-1].answering:
        return bool(losses)
    return event.at - losses[-1].at < LOSS_REPEATED_S
