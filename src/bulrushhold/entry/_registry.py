"""Registry of the generations that this entry serves."""

import asyncio
import contextlib
import time
import typing as t

from bulrushhold import decisions
from bulrushhold.entry import _crashprobes
from bulrushhold.entry import _generation
from bulrushhold.entry import _keyregistrar
from bulrushhold.entry import _replication
from bulrushhold.entry import _runner
from bulrushhold.entry import _shutdown
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings

SWEEP_INTERVAL_S: t.Final = 0.5


class GenerationRegistry:
    """Starts, looks up, expires and cancels generations by key."""

    def __init__(
        self,
        config: settings.Entry,
        runner: _runner.GenerationRunner,
        registrar: _keyregistrar.KeyRegistrar,
        replicator: _replication.TranscriptReplicator,
        store: decisions.CopyStore,
    ) -> None:
        self.config = config
        self.runner = runner
        self.registrar = registrar
        self.replicator = replicator
        self.store = store
        self.generations: dict[str, _generation.Generation] = {}
        self.open_locks: dict[str, asyncio.Lock] = {}
        self.restarted_homes: set[str] = set()
        self.sweep_requested = asyncio.Event()
        self.is_shut_down = False

    async def open(
        self,
        key: str,
        spec: _generation.GenerationSpec,
        received: int,
        *,
        new_key: bool,
    ) -> _generation.Generation:
        """Return the generation of a key, starting it if necessary.

        :param received: number of tokens that the caller already has.
        :param new_key: the key was created here, so no other entry knows it.
        :raises RequestError: if the answer can't be continued correctly.
        """
        lock = self.open_locks.setdefault(key, asyncio.Lock())
        try:
            async with lock:
                generation = self.generations.get(key)
                if generation is None or await self._needs_restart(generation):
                    generation = await self._start(
                        key, spec, received, new_key=new_key
                    )
        finally:
            if not lock.locked():
                self.open_locks.pop(key, None)
        if generation.spec.fingerprint != spec.fingerprint:
            raise errors.RequestError(
                'the idempotency key was used for another request',
                'key',
                status=422,
            )
        if received > len(generation.transcript.tokens):
            raise errors.RequestError(
                f'the answer is not known up to token {received}; send the '
                'request again with a new key',
                'resume',
                ran=errors.Ran.YES,
                status=410,
            )
        return generation

    def cancel(self, generation: _generation.Generation, reason: str) -> None:
        """Cancel a generation that has no readers."""
        if not generation.lifecycle.ended:
            generation.lifecycle.trigger('cancel')
        generation.fail(
            errors.RequestError(
                reason, 'cancel', ran=errors.Ran.YES, status=410
            )
        )
        if generation.task is not None:
            generation.task.cancel()

    def shut_down(self) -> bool:
        """Fail all running generations, and start none any more.

        :return: whether there were any, whose callers go on elsewhere.
        """
        self.is_shut_down = True
        was_running = False
        for generation in self.generations.values():
            if not generation.ended:
                was_running = True
                if not generation.lifecycle.ended:
                    generation.lifecycle.trigger('refuse')
                generation.fail(_shutdown.make_refusal(generation.ran))
                if generation.task is not None:
                    generation.task.cancel()
        return was_running

    def refuse_quarantined(self, quarantined: frozenset[str]) -> None:
        """Fail the generations whose content is quarantined."""
        for generation in self.generations.values():
            refused = generation.spec.fingerprint in quarantined
            if refused and not generation.lifecycle.ended:
                generation.lifecycle.trigger('refuse')
                generation.fail(
                    errors.RequestError(
                        _crashprobes.QUARANTINE_REASON,
                        'quarantine',
                        ran=errors.Ran.YES,
                        status=422,
                    )
                )

    def refresh_pointers(self) -> None:
        """Renew the pointers of all running streams at once.

        The homes don't know the entries that hold the copies now, or have
        become homes of these keys.
        """
        for generation in self.generations.values():
            generation.refresh_at = 0.0
        self.sweep_requested.set()

    def on_home_restarted(self, address: str) -> None:
        """Renew the pointers that a restarted entry has lost."""
        self.restarted_homes.add(address)
        self.sweep_requested.set()

    def _refresh_missed(self) -> None:
        """Renew the pointers of keys that a home hasn't registered."""
        for key in list(self.registrar.missed_keys):
            generation = self.generations.get(key)
            if generation is not None:
                generation.refresh_at = 0.0
            if key not in self.open_locks:
                self.registrar.missed_keys.discard(key)

    async def sweep(self) -> None:
        """Cancel abandoned streams, expire old ones and renew pointers."""
        interval_s = min(SWEEP_INTERVAL_S, self._refresh_s / 2)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.sweep_requested.wait()
            self.sweep_requested.clear()
            restarted, self.restarted_homes = self.restarted_homes, set()
            self._refresh_missed()
            self.store.expire(time.monotonic())
            for key, generation in list(self.generations.items()):
                if self.generations.get(key) is not generation:
                    continue
                if self._sweep_one(generation, restarted):
                    # Computing the homes of many keys would block the loop.
                    await asyncio.sleep(0)

    @property
    def _refresh_s(self) -> float:
        return self.config.copies.keep_s / 3

    def _sweep_one(
        self, generation: _generation.Generation, restarted: set[str]
    ) -> bool:
        """Expire, cancel or refresh; return whether pointers were sent."""
        now = time.monotonic()
        self._expire(generation, now)
        if generation.ended:
            self.replicator.forget(generation)
            return False
        if now >= generation.refresh_at:
            generation.refresh_at = now + self._refresh_s
            self._refresh(generation)
            return True
        if restarted:
            self._refresh(generation, restarted)
        return bool(restarted)

    def _refresh(
        self,
        generation: _generation.Generation,
        only: set[str] | None = None,
    ) -> None:
        self.registrar.refresh(
            generation.key,
            generation.epoch,
            generation.start_epoch,
            generation.spec.fingerprint,
            only,
        )

    def _expire(self, generation: _generation.Generation, now: float) -> None:
        if generation.readers:
            generation.abandoned_at = None
            return
        if generation.abandoned_at is None:
            generation.abandoned_at = now
        abandoned_s = now - generation.abandoned_at
        if generation.ended and abandoned_s > self.config.copies.keep_s:
            del self.generations[generation.key]
        elif (
            not generation.ended
            and abandoned_s > self.config.recovery.orphan_s
        ):
            self.cancel(generation, 'the caller disconnected')

    @property
    def running(self) -> int:
        """The number of generations that haven't ended."""
        return sum(not g.ended for g in self.generations.values())

    async def _needs_restart(self, generation: _generation.Generation) -> bool:
        """Whether a reconnecting caller needs a new generation object."""
        state = generation.lifecycle.state
        if state in ('fenced', 'cancelled'):
            return True
        if state == 'refused' and not generation.transcript.tokens:
            return True
        owned = await self.registrar.still_owned(
            generation.key, generation.epoch, generation.spec.fingerprint
        )
        if not owned:
            generation.fence('a pointer home')
        return not owned

    async def _start(
        self,
        key: str,
        spec: _generation.GenerationSpec,
        received: int,
        *,
        new_key: bool,
    ) -> _generation.Generation:
        if new_key:
            epoch = self.registrar.new_epoch()
            ownership = _keyregistrar.KeyOwnership(epoch, epoch, None)
        else:
            ownership = await self.registrar.acquire(
                key, spec.fingerprint, received
            )
        if self.is_shut_down:
            raise _shutdown.make_refusal(errors.Ran.NO)
        generation = _generation.Generation(key, spec, ownership.epoch)
        generation.start_epoch = ownership.start_epoch
        generation.refresh_at = time.monotonic() + self._refresh_s
        if ownership.previous_copy is not None:
            _restore(generation, ownership.previous_copy)
        self.generations[key] = generation
        if new_key:
            generation.registered = False
            generation.registration = asyncio.get_running_loop().create_task(
                self._register(generation)
            )
        self.replicator.replicate(generation)
        if generation.transcript.finish:
            generation.lifecycle.trigger('finish')
            return generation
        generation.task = asyncio.get_running_loop().create_task(
            self.runner.run(generation)
        )
        return generation

    async def _register(self, generation: _generation.Generation) -> None:
        """Register a new key while its first token is generated.

        The caller can't send the key to another entry before it gets the
        first token, which therefore waits for a majority of the key's homes.
        With a pointer at fewer homes, a takeover would find the text unknown.
        """
        registered = await self.registrar.register(
            generation.key, generation.epoch, generation.spec.fingerprint
        )
        if not registered:
            # Answering without a takeover is better than not answering.
            node.log_decision('key not registered', request=generation.key)
        generation.registered = True
        self.replicator.update_visible(generation)


def _restore(
    generation: _generation.Generation, copy: messages.CopyState
) -> None:
    transcript = generation.transcript
    transcript.tokens = list(copy.tokens)
    transcript.version = copy.version
    transcript.finish = copy.finish
    # The previous owner may have shown these tokens, so they are final and
    # visible immediately.
    generation.advance_visible(len(transcript.tokens))
