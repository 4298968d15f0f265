"""Splits a stream of server-sent events into whole, numbered events.

An engine that dies may cut its stream in the middle of an event. Bytes
go on to the caller only as whole events, so that a continuation from
another engine joins at a boundary.
"""

import attrs

from bulrushhold import errors

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# No engine sends an event this long; without a bound, one that sends
# rubbish would fill the memory of the process.
MAX_EVENT_BYTES = 1 << 20


@attrs.frozen
class Event:
    """One whole event.

    :param number: its id, or ``None`` where it has none.
    :param data: all its bytes, with the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Takes chunks of any size, gives whole events."""

    def __init__(self) -> None:
        self.rest = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises BackendError: where no event ends within any sane length,
            or an id is no number.
        """
        *whole, self.rest = (self.rest + chunk).split(_EVENT_END)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise errors.BackendError('an event without an end', 'stream')
        return [Event(_event_id(data), data + _EVENT_END) for data in whole]


def _event_id(data: bytes) -> int | None:
    for line in data.split(b'\n'):
        if line.startswith(_ID_FIELD):
            try:
                return int(line[len(_ID_FIELD) :])
            except ValueError as error:
                raise errors.BackendError(
                    'an event id that is no number', 'stream'
                ) from error
    return None
