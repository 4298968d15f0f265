"""Response bodies that are received into a buffer of bounded size."""

import asyncio
import collections
import collections.abc as cabc
import mmap
import typing as t

import aiohttp
import loguru

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold.web import _buffers
from bulrushhold.web import _connections
from bulrushhold.web import _responsesyntax

# Up to this size a body is neither counted nor copied: it is no larger than
# the window that any response may use.
SMALL_BODY_BYTES: t.Final = 32 << 10
# Bodies of responses that are passed on whole, as those of failed streams.
MAX_WHOLE_BYTES: t.Final = 1 << 20
# Memory maps of this size are returned to the system as soon as they are sent,
# while blocks of many sizes would fragment the heap.
SEGMENT_BYTES: t.Final = 64 << 10


class _Segment:
    """A block of a body, filled from the start and read from the start."""

    def __init__(self) -> None:
        self.block = mmap.mmap(
            -1, SEGMENT_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        self.view = memoryview(self.block)
        self.filled = 0
        self.taken = 0


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a body's end is marked: RFC 9112, section 6.3."""
    if (
        response.method == 'HEAD'
        or response.status in _responsesyntax.BODILESS_STATUSES
    ):
        return True
    codings = response.headers.getall('Transfer-Encoding', ())
    if codings:
        return codings[-1].rpartition(',')[2].strip().lower() == 'chunked'
    return 'Content-Length' in response.headers


async def read_whole(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return a body that is needed whole.

    :param max_bytes: size at which the connection is closed.
    :raises ResponseLimitError: if the body is larger.
    """
    chunks = []
    size = 0
    while chunk := await response.content.readany():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise _responsesyntax.ResponseLimitError(size, 'response body')
        chunks.append(chunk)
    return b''.join(chunks)


async def receive(
    budget: _buffers.BufferBudget,
    source: calls.BackendResponse,
    length: int | None,
    set_bulk: cabc.Callable[[bool], None] = bool,
) -> bytes | bodies.Body:
    """Return a response's body, which closes the response in the end.

    :param length: length in bytes; ``None`` if it is unknown.
    :param set_bulk: called with whether to receive large parts at a time.
    :raises BackendError: if the body is truncated.
    """
    is_small = length is not None and length <= SMALL_BODY_BYTES
    if is_small:
        return await source.body()
    return await BufferedBody(budget, source, length, set_bulk).start()


class BufferedBody(bodies.Body, _buffers.Holder):
    """A body that is received ahead of its caller as far as budget allows.

    Without budget, it is received as fast as its caller reads.

    :param source: the response, which it closes in the end.
    :param length: length in bytes; ``None`` if it is unknown.
    :param set_bulk: called with whether to receive large parts at a time.
    """

    def __init__(
        self,
        budget: _buffers.BufferBudget,
        source: calls.BackendResponse,
        length: int | None,
        set_bulk: cabc.Callable[[bool], None],
    ) -> None:
        _buffers.Holder.__init__(self, budget)
        self.set_bulk = set_bulk
        self.source = source
        self.length = length
        self.segments: collections.deque[_Segment] = collections.deque()
        self.received = 0
        self.buffered = 0
        self.reserved = 0
        self.unsent = 0
        self.complete = False
        self.error: errors.BackendError | None = None
        self.changed = asyncio.Event()
        self.has_room = asyncio.Event()
        self.filler: asyncio.Task[None] | None = None
        budget.holders.add(self)

    async def start(self) -> bytes | bodies.Body:
        """Receive what has budget; return the body, or its bytes if small.

        :raises BackendError: if the body is truncated.
        """
        try:
            while not self.complete and self._reserve():
                await self._receive()
        except BaseException:
            self.close()
            raise
        if not self.complete:
            self.filler = asyncio.ensure_future(self._fill())
            self._account()
            self.wait()
            return self
        self.length = self.received
        if self.received > SMALL_BODY_BYTES:
            return self
        data = b''.join(bytes(s.view[: s.filled]) for s in self.segments)
        self.close()
        return data

    async def piece(self) -> bytes | memoryview:
        """Return the next bytes; see :meth:`bodies.Body.piece`."""
        if self.read_at is None:
            self.mark_read()
        self._drop_sent()
        while not self.buffered:
            if self.complete:
                return b''
            if self.error is not None:
                raise self.error
            self.changed.clear()
            await self.changed.wait()
        segment = self.segments[0]
        piece = segment.view[segment.taken : segment.filled]
        self.unsent = len(piece)
        return piece

    def close(self) -> None:
        """Free the memory; see :meth:`bodies.Body.close`."""
        if self.filler is not None:
            self.filler.cancel()
        self.segments.clear()
        self.source.close()
        self.release()

    def wanted(self) -> int:
        """Return how many bytes are still to be received; at least 1."""
        if self.length is None:
            return SEGMENT_BYTES
        return max(1, self.length - self.received)

    def on_granted(self, count: int) -> None:
        """Receive more."""
        self.reserved += count
        self.has_room.set()

    def end_stalled(self) -> None:
        """Close the caller's connection."""
        if self.on_stalled is not None:
            self.on_stalled()

    def _drop_sent(self) -> None:
        if not self.unsent:
            return
        segment = self.segments[0]
        segment.taken += self.unsent
        self.buffered -= self.unsent
        self.unsent = 0
        self.mark_read()
        if segment.taken == segment.filled:
            # Not filled again: the transport may still refer to its bytes.
            self.segments.popleft()
        self._account()
        self.has_room.set()

    @property
    def _needs_no_more(self) -> bool:
        """Whether the remainder needs no more memory."""
        if self.length is None:
            return self.reserved > 0
        return self.reserved > 0 or self.received >= self.length

    def _reserve(self) -> bool:
        """Return whether more may be received without a caller who reads."""
        is_first = self.length is None and self.received < SMALL_BODY_BYTES
        if is_first or self._needs_no_more:
            return True
        count = self.wanted()
        if not self.try_read_ahead(count):
            return False
        self.reserved += count
        return True

    async def _receive(self) -> None:
        # The last parts are small, as the connection may read another one.
        self.set_bulk(self.reserved > 2 * _connections.BULK_RECEIVE_BYTES)
        await self.budget.turns.take()
        chunk = await self.source.chunk()
        if not chunk:
            self.complete = True
            self.reserved = 0
            self.budget.waiting.pop(self, None)
        self.received += len(chunk)
        self.buffered += len(chunk)
        self.reserved = max(0, self.reserved - len(chunk))
        view = memoryview(chunk)
        while view:
            if not self.segments or self.segments[-1].filled == SEGMENT_BYTES:
                self.segments.append(_Segment())
            segment = self.segments[-1]
            part = view[: SEGMENT_BYTES - segment.filled]
            end = segment.filled + len(part)
            segment.view[segment.filled : end] = part
            segment.filled = end
            view = view[len(part) :]
        self._account()

    def _account(self) -> None:
        is_passing = self.filler is not None and not self.complete
        window = _buffers.WINDOW_BYTES if is_passing else 0
        # The window includes one part that waits to be sent.
        waiting = _connections.RECEIVE_BYTES if is_passing else 0
        ahead = max(0, self.buffered - waiting) + self.reserved
        self.resize(window + ahead, ahead)

    async def _fill(self) -> None:
        try:
            while not self.complete:
                while self.buffered and not self._needs_no_more:
                    self.has_room.clear()
                    if self not in self.budget.waiting:
                        self.wait()
                    await self.has_room.wait()
                await self._receive()
                self.changed.set()
        except errors.BackendError as error:
            self.error = error
        except Exception as error:
            loguru.logger.exception('failed to receive a response')
            self.error = errors.BackendError(str(error), 'answer')
        finally:
            self.changed.set()
