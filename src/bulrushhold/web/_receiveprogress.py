"""How the requests on a connection go on as their bytes arrive."""

import collections.abc as cabc
import typing as t

from aiohttp import streams

# Less than this doesn't count as going on.
PROGRESS_BYTES: t.Final = 1 << 10


class ReceiveProgress:
    """Follows the requests that a connection's parser finds.

    :param clock: returns seconds.
    :ivar payload: the body of the last request whose head is complete.
    :ivar in_head: whether a part of a head has arrived.
    :ivar idle_bytes: received since a request last advanced: a part of a head,
        empty lines before it, trailers, or extensions of chunks.
    :ivar head_began_at: when the first bytes of the head arrived.
    :ivar received_at: when the last bytes arrived.
    :ivar progress_at: when the last KB of a request, or its end, arrived.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.payload: streams.StreamReader = streams.EMPTY_PAYLOAD
        self.in_head = False
        self.idle_bytes = 0
        self.head_began_at = self.received_at = self.progress_at = clock()
        self.delivered = 0
        self.progress_bytes = 0
        self.was_complete = True

    @property
    def is_complete(self) -> bool:
        """Whether all of the last request has arrived."""
        return self.payload.is_eof()

    def before_parsing(self, data: bytes) -> None:
        """Note bytes that are about to be parsed."""
        self.was_complete = self.is_complete
        if not data:
            return
        self.received_at = self.clock()
        # Empty lines before a request don't begin it.
        if self.was_complete and not self.in_head and not data.isspace():
            self.in_head = True
            self.head_began_at = self.progress_at = self.received_at

    def after_parsing(
        self, size: int, payload: streams.StreamReader | None
    ) -> None:
        """Note what the last bytes have brought.

        :param size: their number.
        :param payload: the body of the last of the requests whose heads have
            been completed; ``None`` if there is none.
        """
        if payload is not None:
            self.payload = payload
            self.delivered = 0
            self.in_head = False
        delivered = self.payload.total_bytes - self.delivered
        self.delivered += delivered
        has_ended = self.is_complete and not self.was_complete
        if payload is not None or delivered or has_ended:
            self.idle_bytes = 0
        else:
            self.idle_bytes += size
        self.progress_bytes += size if self.in_head else delivered
        if self.progress_bytes >= PROGRESS_BYTES or has_ended:
            self.progress_bytes = 0
            self.progress_at = self.received_at

    def restart(self) -> None:
        """Note that a request was answered, and the next one may go on."""
        self.progress_at = self.clock()
        # Its head may have been held up by the request before it.
        self.head_began_at = self.progress_at
