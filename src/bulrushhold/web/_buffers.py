"""Bounds the memory of all bodies that an entry holds at a time."""

import asyncio
import collections
import collections.abc as cabc
import ctypes
import os
import pathlib
import time
import typing as t

import loguru

from bulrushhold import node
from bulrushhold import ports

# Share of an instance's memory that the process aims for. It has to stay below
# 0.8, and parts on their way between two buffers aren't counted.
MEMORY_SHARE: t.Final = 0.75
# Share of the budget above which new requests are refused.
REFUSAL_SHARE: t.Final = 0.9
# Share up to which large request bodies are accepted, so that a crowd of them
# leaves room for ordinary requests.
LARGE_REQUEST_SHARE: t.Final = 0.75
# Share of the budget that others hold at most beside a request that counts as
# alone, and what such a request may hold in any case.
ALONE_SHARE: t.Final = 0.1
ALONE_BYTES: t.Final = 16 << 20
# Share of the budget that responses may hold beyond their windows. Windows of
# 200 slow readers fit beside it in an instance of 128 MB whose process needs
# half of that.
READ_AHEAD_SHARE: t.Final = 0.3
# Share up to which all bodies together leave room for reading ahead, so that
# responses alone don't lead to refusals.
READ_AHEAD_LIMIT: t.Final = 0.85
# Bounds the budget from below if the process itself needs nearly all memory.
MIN_BUDGET_SHARE: t.Final = 1 / 16
# Memory of a response that is forwarded piece by piece: aiohttp's read
# buffer, the piece, the write buffer and the objects of two connections.
WINDOW_BYTES: t.Final = 96 << 10
# Largest grant to a waiting body, so that one large body can't block others.
GRANT_BYTES: t.Final = 1 << 20
# Bytes that responses may hold beyond their windows if the instance's memory
# isn't known. The rest of a response is received as its caller reads.
READ_AHEAD_BYTES: t.Final = 32 << 20
# A caller that has read nothing for this long counts as stalled. Through
# window updates of 64 KB, a caller is seen to read from 4.4 KB/s on.
STALLED_S: t.Final = 15.0
# Bodies that receive a part in one pass of the event loop. With 200 at a time,
# a small request took 130 ms instead of 2 ms.
TURNS_PER_PASS: t.Final = 4
CHECK_INTERVAL_S: t.Final = 1.0
# Growth of the process since the last time, as a share of its instance's
# memory, at which freed memory of the heap is returned to the system.
TRIM_SHARE: t.Final = 1 / 32
# Larger blocks of the heap are returned to the system as they are freed. By
# default glibc raises this bound to the largest block freed so far, and bodies
# that grow beside each other leave gaps that nothing fills.
MAPPED_BLOCK_BYTES: t.Final = 512 << 10
_M_MMAP_THRESHOLD: t.Final = -3
_STATM: t.Final = pathlib.Path('/proc/self/statm')


class Holder:
    """One body's part of the budget.

    :ivar held: bytes.
    :ivar ahead: those of them that exceed the window of a response.
    :ivar read_at: when its caller last read some of it; ``None`` before it is
        sent.
    """

    def __init__(self, budget: 'BufferBudget') -> None:
        self.budget = budget
        self.held = 0
        self.ahead = 0
        self.read_at: float | None = None

    def wanted(self) -> int:
        """Return how many bytes it waits for."""
        return 0

    def on_granted(self, count: int) -> None:
        """Use bytes that it has waited for; they are already held."""

    def end_stalled(self) -> None:
        """End the response, as its caller reads nothing."""

    def try_read_ahead(self, count: int) -> bool:
        """Hold more bytes if they fit, and no other body waits for them."""
        if self.budget.waiting or not self.budget.fits_ahead(count):
            return False
        self.resize(self.held + count, self.ahead + count)
        return True

    def resize(self, held: int, ahead: int = 0) -> None:
        """Set the bytes that it holds, whether or not they fit."""
        used_more = held - self.held
        ahead_more = ahead - self.ahead
        self.held = held
        self.ahead = ahead
        self.budget.change(used_more, ahead_more)

    def mark_read(self) -> None:
        """Record that the caller has read some of it."""
        self.read_at = self.budget.clock()

    def wait(self) -> None:
        """Wait for :meth:`wanted` bytes, after all that wait already."""
        self.budget.waiting[self] = None
        self.budget.grant()

    def release(self) -> None:
        """Hold nothing any more."""
        self.budget.waiting.pop(self, None)
        self.budget.holders.discard(self)
        self.resize(0)


class Turns:
    """Spreads the parts that bodies receive over passes of the event loop.

    Other requests would otherwise wait for a part of each body in each pass.
    """

    def __init__(self) -> None:
        self.taken = 0
        self.queue: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def take(self) -> None:
        """Wait until one more part may be received."""
        if self.taken < TURNS_PER_PASS:
            self._count()
            return
        turn = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        await turn

    def _count(self) -> None:
        if not self.taken:
            asyncio.get_running_loop().call_soon(self._begin_pass)
        self.taken += 1

    def _begin_pass(self) -> None:
        self.taken = 0
        while self.queue and self.taken < TURNS_PER_PASS:
            turn = self.queue.popleft()
            if not turn.done():
                self._count()
                turn.set_result(None)


class BufferBudget:
    """A bound on the bytes that bodies hold in memory.

    :param limit: bytes; 0 for no bound.
    :ivar used: bytes held now.
    :ivar ahead: those of them that exceed the windows of responses.
    :ivar reclaim: called with the bytes that may be held, if less is wanted.
    """

    def __init__(
        self,
        limit: int,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit = limit
        self.metrics = metrics
        self.clock = clock
        self.used = 0
        self.ahead = 0
        self.refusals = 0
        self.turns = Turns()
        self.holders: set[Holder] = set()
        self.waiting: dict[Holder, None] = {}
        self.reclaim: cabc.Callable[[int], None] | None = None

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the bound."""
        return bool(self.limit) and self.used > self.limit

    @property
    def share(self) -> float:
        """The share of the budget that is used; 0 without a bound."""
        return self.used / self.limit if self.limit else 0.0

    @property
    def is_short(self) -> bool:
        """Whether new requests are refused."""
        return self.share > REFUSAL_SHARE

    def refuses(self, holder: Holder | None = None) -> bool:
        """Return whether to refuse a new request, and count it if so.

        :param holder: what it holds itself doesn't count.
        """
        if self._is_full_beside(holder) and self.reclaim is not None:
            self.reclaim(int(REFUSAL_SHARE * self.limit))
        if not self._is_full_beside(holder):
            return False
        self._count_refusal()
        return True

    def _is_full_beside(self, holder: Holder | None) -> bool:
        used = self.used - (holder.held if holder is not None else 0)
        return bool(self.limit) and used > REFUSAL_SHARE * self.limit

    def is_alone(self, holder: Holder, held: int) -> bool:
        """Return whether a request may hold so much, as it is alone."""
        others = self.used - holder.held
        return others <= ALONE_SHARE * self.limit and held <= max(
            self.limit, ALONE_BYTES
        )

    def take_request(self, holder: Holder, count: int) -> bool:
        """Hold a large request's body; return ``False`` if it doesn't fit.

        One that is alone fits, unless it is larger than the budget.
        """
        if self.limit and not self._fits_request(holder, count):
            bound = int(LARGE_REQUEST_SHARE * self.limit)
            if self.reclaim is not None:
                self.reclaim(max(holder.held, bound - count))
            if not self._fits_request(holder, count):
                self._count_refusal()
                return False
        holder.resize(holder.held + count)
        return True

    def _fits_request(self, holder: Holder, count: int) -> bool:
        if self.used + count <= LARGE_REQUEST_SHARE * self.limit:
            return True
        return self.is_alone(holder, holder.held + count)

    def fits_ahead(self, count: int) -> bool:
        """Return whether a response may hold more bytes than its window."""
        return (
            self.ahead + count <= READ_AHEAD_SHARE * self.limit
            and self.used + count <= READ_AHEAD_LIMIT * self.limit
        )

    def change(self, used: int, ahead: int) -> None:
        """Add to the bytes held; those that are freed are granted."""
        self.used += used
        self.ahead += ahead
        if used < 0 or ahead < 0:
            self.grant()

    def grant(self) -> None:
        """Grant free bytes to waiting bodies in order of arrival."""
        while self.waiting:
            holder = next(iter(self.waiting))
            wanted = min(GRANT_BYTES, holder.wanted())
            if not self.fits_ahead(wanted):
                return
            del self.waiting[holder]
            holder.resize(holder.held + wanted, holder.ahead + wanted)
            holder.on_granted(wanted)

    def check(self) -> None:
        """End stalled responses while memory is short; update the gauges.

        The one whose caller has read nothing for the longest time goes first.
        One whose caller reads is never ended.
        """
        stalled_before = self.clock() - STALLED_S
        stalled = [
            holder
            for holder in self.holders
            if holder.read_at is not None and holder.read_at < stalled_before
        ]
        for holder in sorted(stalled, key=lambda item: item.read_at or 0.0):
            if not self.is_short:
                break
            loguru.logger.bind(
                held=holder.held, silent_s=self.clock() - (holder.read_at or 0)
            ).warning('response ended, as its caller reads nothing')
            self.metrics.count('buffers.ended')
            holder.end_stalled()
            holder.release()
        if self.refusals and not self.is_short:
            loguru.logger.bind(refused=self.refusals, used=self.used).info(
                'buffers have room again'
            )
            self.refusals = 0
        self.metrics.gauge('buffers.bytes', self.used)
        self.metrics.gauge('buffers.waiting', len(self.waiting))

    def _count_refusal(self) -> None:
        if not self.refusals:
            loguru.logger.bind(
                used=self.used, limit=self.limit, bodies=len(self.holders)
            ).warning('buffers are full, new requests are refused')
        self.refusals += 1
        self.metrics.count('buffers.refused')


def make_read_ahead_budget() -> BufferBudget:
    """Return a budget for responses only, if no memory is set."""
    limit = int(READ_AHEAD_BYTES / READ_AHEAD_SHARE)
    return BufferBudget(limit, node.NullMetrics())


class MemoryMonitor:
    """Adapts a budget to what the rest of the process uses.

    :param memory: bytes of memory of the instance; 0 if it isn't bounded.
    """

    def __init__(self, budget: BufferBudget, memory: int) -> None:
        self.budget = budget
        self.memory = memory
        self.startup = self.trimmed = resident_bytes()
        self.update()

    def update(self) -> None:
        """Set the limit of the budget.

        The process grows after its start, by lists of servers and by
        connections, so that its present use counts besides that at startup.
        """
        if not self.memory:
            return
        other = resident_bytes() - self.budget.used
        if other - self.trimmed > TRIM_SHARE * self.memory:
            _trim_heap()
            other = self.trimmed = resident_bytes() - self.budget.used
        other = max(self.startup, other)
        self.budget.limit = int(
            max(
                MEMORY_SHARE * self.memory - other,
                MIN_BUDGET_SHARE * self.memory,
            )
        )

    async def watch(self) -> None:
        """Check the memory forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update()
            self.budget.check()


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(_STATM.read_text('ascii').split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def map_large_blocks() -> None:
    """Keep large blocks out of the heap, if the C library can (glibc)."""
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)


def _trim_heap() -> None:
    """Return freed memory of the heap, if the C library can do so (glibc)."""
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
