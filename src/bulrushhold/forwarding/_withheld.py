"""Withholds a streamed response while its end isn't certain."""

import collections.abc as cabc
import typing as t

from bulrushhold import calls
from bulrushhold import errors

MAX_WITHHELD_BYTES: t.Final = 1 << 20


class WithheldStream(calls.CallerStream):
    """Passes a response on once it may begin, or all of it has arrived.

    Until then the caller can still get an error instead.

    :param inner: the response to the caller.
    :param may_begin: returns whether the response may be passed on now.
    :param on_begin: is awaited before the caller gets anything.
    """

    def __init__(
        self,
        inner: calls.CallerStream,
        may_begin: cabc.Callable[[], bool],
        on_begin: cabc.Callable[[], cabc.Awaitable[None]],
    ) -> None:
        self.inner = inner
        self.may_begin = may_begin
        self.on_begin = on_begin
        self.headers_sent = False
        self.head: tuple[int, calls.Headers] | None = None
        self.data = bytearray()

    @property
    def connected(self) -> bool:
        """Whether the caller's connection is open, as far as is known."""
        return self.inner.connected

    async def send_headers(
        self, status: int, headers: calls.Headers, framed: bool = True
    ) -> None:
        """Send or keep a head; of several ones the first is kept."""
        if self.head is None:
            self.head = status, headers
            self.framed = framed
        if self.may_begin():
            await self._begin()

    async def write(self, data: bytes) -> None:
        """Send or keep the next bytes of the body.

        :raises RequestError: if too much would be kept.
        """
        if self.headers_sent:
            await self.inner.write(data)
            return
        self.data += data
        if len(self.data) > MAX_WITHHELD_BYTES:
            raise errors.RequestError(
                'response too large to be withheld',
                'forward',
                ran=errors.Ran.UNKNOWN,
                status=502,
            )

    async def end(self) -> None:
        """Send what was withheld, and complete the response."""
        if not self.headers_sent:
            await self._begin()
        await self.inner.end()

    def abort(self) -> None:
        """Abort the response if the caller has a part of it."""
        if self.headers_sent:
            self.inner.abort()

    async def _begin(self) -> None:
        assert self.head is not None
        await self.on_begin()
        self.headers_sent = True
        status, headers = self.head
        await self.inner.send_headers(status, headers, self.framed)
        self.framed = self.inner.framed
        if self.data:
            data = bytes(self.data)
            self.data.clear()
            await self.inner.write(data)
