"""The body of a request, counted and bounded as its handler receives it."""

import abc
import asyncio
import typing as t

from aiohttp import streams
import attrs

from bulrushhold import errors
from bulrushhold.web import _refusals


class ContentHolder(abc.ABC):
    """Counts the memory of the body that is being received."""

    @abc.abstractmethod
    def reserve(self, size: int) -> None:
        """Reserve memory for a body of a size in bytes.

        :raises RequestError: if there is none.
        """

    @abc.abstractmethod
    def on_part(self, size: int, received: int) -> None:
        """Note that a handler has a further part.

        :param size: its bytes; 0 at the end of the body.
        :param received: the bytes of all parts so far.
        """


class RequestContent:
    """Takes the place of aiohttp's stream, for what handlers use of it.

    :param length: the declared length in bytes; 0 if there is none.
    :param limit: bytes that the body may have; 0 for no bound.
    :ivar error: raised instead of a further part, if set.
    """

    def __init__(
        self,
        payload: streams.StreamReader,
        holder: ContentHolder,
        length: int,
        limit: int,
    ) -> None:
        self.payload = payload
        self.holder = holder
        self.length = length
        self.limit = limit
        self.received = 0
        self.is_admitted = False
        self.error: errors.RequestError | None = None
        self.cutoff: asyncio.Timeout | None = None

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self.payload, name)

    @property
    def is_awaited(self) -> bool:
        """Whether a handler waits for a further part."""
        return self.cutoff is not None

    def set_read_chunk_size(self, size: int) -> None:
        """Keep the size of the buffer, which requests can't change."""

    def admit(self) -> None:
        """Reserve memory for a body of the declared length.

        :raises RequestError: if it isn't accepted; the request did not run.
        """
        if not self.is_admitted:
            self.is_admitted = True
            self._check()
            self._check_size(self.length)
            self.holder.reserve(self.length)

    async def readany(self) -> bytes:
        """Return the next bytes, ``b''`` at the end.

        :raises RequestError: if the body is too large, there is no memory for
            it, or it didn't arrive in time; the request did not run.
        """
        self.admit()
        part = await self._receive()
        self.received += len(part)
        self._check_size(self.received)
        if self.received > self.length:
            self.holder.reserve(self.received)
        self.holder.on_part(len(part), self.received)
        return part

    def fail(self, error: errors.RequestError) -> None:
        """Let the handler that receives the body fail."""
        if self.error is not None:
            return
        self.error = error
        if self.cutoff is not None and not self.cutoff.expired():
            self.cutoff.reschedule(asyncio.get_running_loop().time())

    async def _receive(self) -> bytes:
        self._check()
        self.cutoff = asyncio.timeout(None)
        try:
            async with self.cutoff:
                part = await self.payload.readany()
        except TimeoutError:
            self._check()
            raise
        finally:
            self.cutoff = None
        self._check()
        return part

    def _check(self) -> None:
        if self.error is not None:
            # A copy: the traceback of one that is kept would keep the body.
            raise attrs.evolve(self.error)

    def _check_size(self, size: int) -> None:
        if self.limit and size > self.limit:
            raise _refusals.body_error(self.limit)
