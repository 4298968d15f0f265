"""Emulated model engines: batches, chunks of prompts, memory and copies.

Continuous batching as in Orca (Yu et al., OSDI 2022) with prompts read in
chunks between tokens (Sarathi, Agrawal et al., 2023): each step makes one
token of every running stream and reads one chunk of the oldest prompt.
"""

import asyncio
import typing as t

import attrs

from bulrushhold import errors

COPY_INTERVAL_S: t.Final = 0.25
COPY_LIFETIME_S: t.Final = 4.0


@attrs.frozen
class EngineProfile:
    """What an engine is able to do.

    :param step_s: seconds of a step with one running stream.
    :param step_s_per_run: more for each stream in the batch.
    :param read_per_s: prompt tokens a second, while nothing else is done.
    :param chunk: prompt tokens read in one step.
    :param stride: tokens in one event.
    :param memory: tokens of all streams and copies.
    """

    step_s: float = 0.0065
    step_s_per_run: float = 0.0001
    read_tokens_per_s: float = 8000.0
    chunk_tokens: int = 200
    tokens_per_event: int = 4
    kv_capacity: int = 88_000
    slots: int = 128


@attrs.define(eq=False)
class Run:
    """One stream at one engine.

    :param unread: tokens to be read before the next one is made.
    :param made: tokens of the answer so far, those before a move included.
    :param copied: goes on from a copy, and is read and admitted first.
    :param out: events to come: their numbers, ``None`` for the end.
    """

    ident: str
    segment: str
    prompt: int
    length: int
    unread_tokens: int
    generated: int
    backup: 'Engine | None'
    events: 'asyncio.Queue[int | None | errors.BackendError]'
    from_copy: bool = False
    last_copy_at: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Tokens in memory, or to be there once the prompt is read."""
        return self.prompt + self.generated


@attrs.define
class _Copy:
    tokens: int
    expires_at: float


class Engine:
    """One start of one engine after the other, at one address."""

    def __init__(
        self, address: str, data_centre: str, profile: EngineProfile
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.profile = profile
        self.incarnation = 0
        self.task: asyncio.Task[None] | None = None
        self.tokens_read = 0
        self.slowdown = 1.0
        self._reset()

    def _reset(self) -> None:
        self.incarnation += 1
        self.ident = f'{self.address}#{self.incarnation}'
        self.up = True
        self.unreachable = False
        self.queue: list[Run] = []
        self.running: list[Run] = []
        self.copies: dict[str, _Copy] = {}
        self.cached_segments: dict[str, int] = {}
        self.wakeup = asyncio.Event()

    @property
    def now(self) -> float:
        """Emulated seconds."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Begin to work."""
        self.task = asyncio.ensure_future(self._run_steps())

    def crash(self, *, unreachable: bool) -> None:
        """Lose all streams.

        :param dark: without a word, as at a loss of power.
        """
        assert self.task is not None
        self.task.cancel()
        self.up, self.unreachable = False, unreachable
        for run in self.running + self.queue:
            if not unreachable:
                run.events.put_nowait(
                    errors.BackendError('reset', 'answer', self.address)
                )
        self.running, self.queue = [], []

    def restart(self) -> None:
        """Come back empty, under another identity."""
        self._reset()
        self.start()

    def enqueue(self, run: Run) -> None:
        """Queue a stream."""
        self.queue.insert(0 if run.from_copy else len(self.queue), run)
        self.wakeup.set()

    def cancel(self, run: Run) -> None:
        """Drop a stream that nobody waits for any more."""
        for runs in (self.queue, self.running):
            if run in runs:
                runs.remove(run)

    def kv_used(self) -> int:
        """Return tokens that can't yield."""
        for name in [
            k for k, c in self.copies.items() if c.expires_at < self.now
        ]:
            del self.copies[name]
        copies = sum(copy.tokens for copy in self.copies.values())
        return copies + sum(run.kv_tokens for run in self.running)

    def fits(self, tokens: int) -> bool:
        """Whether so many tokens more fit in."""
        return self.kv_used() + tokens <= self.profile.kv_capacity

    async def _run_steps(self) -> None:
        while True:
            self._admit()
            if not self.running:
                self.wakeup.clear()
                await self.wakeup.wait()
                continue
            await asyncio.sleep(self._step_s() * self.slowdown)
            self._step()

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.profile.slots:
            if self.running and not self.fits(self.queue[0].kv_tokens):
                return
            self.running.append(self.queue.pop(0))

    def _next_to_read(self) -> Run | None:
        unread = [run for run in self.running if run.unread_tokens]
        return min(unread, key=lambda run: not run.from_copy, default=None)

    def _step_s(self) -> float:
        profile = self.profile
        seconds = profile.step_s + profile.step_s_per_run * len(self.running)
        reading = self._next_to_read()
        if reading is not None:
            chunk_tokens = min(profile.chunk_tokens, reading.unread_tokens)
            seconds += chunk_tokens / profile.read_tokens_per_s
        return seconds

    def _step(self) -> None:
        reading = self._next_to_read()
        for run in list(self.running):
            if not run.unread_tokens:
                self._generate_token(run)
        if reading is not None and reading in self.running:
            chunk_tokens = min(
                self.profile.chunk_tokens, reading.unread_tokens
            )
            reading.unread_tokens -= chunk_tokens
            self.tokens_read += chunk_tokens
            if not reading.unread_tokens:
                self.cached_segments[reading.segment] = reading.prompt
        while len(self.running) > 1 and not self.fits(0):
            self._preempt(self.running[-1])

    def _generate_token(self, run: Run) -> None:
        run.generated += 1
        self._update_backup(run)
        done = run.generated >= run.length
        if run.generated % self.profile.tokens_per_event == 0 or done:
            run.events.put_nowait(
                -(-run.generated // self.profile.tokens_per_event)
            )
        if done:
            run.events.put_nowait(None)
            self.running.remove(run)
            if run.backup is not None:
                run.backup.copies.pop(run.ident, None)

    def _preempt(self, run: Run) -> None:
        self.running.remove(run)
        run.unread_tokens = run.kv_tokens
        self.queue.insert(0, run)

    def _update_backup(self, run: Run) -> None:
        if run.backup is None or self.now - run.last_copy_at < COPY_INTERVAL_S:
            return
        run.last_copy_at = self.now
        run.backup.store_copy(run.ident, run.kv_tokens)

    def store_copy(self, name: str, tokens: int) -> bool:
        """Keep a copy of a run's memory, where there is room."""
        previous = self.copies.get(name)
        extra_tokens = tokens - (previous.tokens if previous else 0)
        if not self.up or not self.fits(extra_tokens):
            return False
        self.copies[name] = _Copy(tokens, self.now + COPY_LIFETIME_S)
        return True
