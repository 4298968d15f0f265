"""Splits a byte stream into complete server-sent events.

An engine can crash in the middle of an event. Only complete events are
forwarded, so that another engine can resume the stream at an event boundary.
"""

import attrs

from bulrushhold import errors

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# Bounds the buffer in case an engine never ends an event.
MAX_EVENT_BYTES = 1 << 20
# Larger ones couldn't be encoded in messages between processes.
MAX_EVENT_ID = (1 << 63) - 1


@attrs.frozen
class Event:
    """One complete event.

    :param event_id: value of its ``id`` field, or ``None`` without one.
    :param data: raw bytes, including the blank line that ends the event.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Reassembles events from chunks of any size, in linear time.

    :ivar buffer: the beginning of an event that isn't complete.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises BackendError: if an event exceeds ``MAX_EVENT_BYTES`` or its
            id is not an integer of 64 bits.
        """
        # The end of an event may be split over two chunks.
        unsearched = max(0, len(self.buffer) - len(_EVENT_END) + 1)
        self.buffer += chunk
        complete = self._take_complete(unsearched)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise errors.BackendError('event too long', 'stream')
        return [Event(_event_id(data), data + _EVENT_END) for data in complete]

    def _take_complete(self, unsearched: int) -> list[bytes]:
        """Remove the complete events, and return them without their ends.

        :param unsearched: offset before which no event ends.
        """
        complete = []
        start = 0
        end = self.buffer.find(_EVENT_END, unsearched)
        while end >= 0:
            complete.append(bytes(self.buffer[start:end]))
            start = end + len(_EVENT_END)
            end = self.buffer.find(_EVENT_END, start)
        del self.buffer[:start]
        return complete


def _event_id(data: bytes) -> int | None:
    for line in data.split(b'\n'):
        if line.startswith(_ID_FIELD):
            try:
                event_id = int(line[len(_ID_FIELD) :])
            except ValueError as error:
                raise errors.BackendError(
                    'event id is not an integer', 'stream'
                ) from error
            if abs(event_id) > MAX_EVENT_ID:
                raise errors.BackendError('event id is out of range', 'stream')
            return event_id
    return None
