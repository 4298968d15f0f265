"""Who serves a key: pointers at its homes, and taking a key over."""

import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs
import xxhash

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings

POINTER_HOMES: t.Final = 3
ASK_S: t.Final = 0.4
TRIES: t.Final = 4


@attrs.frozen
class Taken:
    """A key that this entry now serves.

    :param former: what the former entry had written, if it was found.
    """

    epoch: int
    former: messages.CopyState | None


class KeyTaker:
    """Registers this entry for a key, and fetches what exists of it."""

    def __init__(
        self,
        config: settings.Entry,
        transport: ports.Transport,
        store: decisions.CopyStore,
        entries: cabc.Callable[[], list[ports.Instance]],
        copies: cabc.Callable[[], list[str]],
    ) -> None:
        self.config = config
        self.transport = transport
        self.store = store
        self.entries = entries
        self.copies = copies
        self.own = str(config.peer)
        self.tie = xxhash.xxh3_64_intdigest(config.name.encode()) & 0xFFFF
        transport.handle(messages.PointerTake, self._on_pointer)
        transport.handle(messages.CopyBatch, self._on_batch)
        transport.handle(messages.CopyTake, self._on_take)

    def fresh_epoch(self) -> int:
        """Return an epoch that no other entry uses: time, then name."""
        return (int(time.time() * 1000) << 16) | self.tie

    async def take(self, key: str, fingerprint: str) -> Taken:
        """Become the one entry that serves a key.

        :raises RequestError: where the key was used for another content,
            or entries keep taking it from each other.
        """
        epoch = self.fresh_epoch()
        for _ in range(TRIES):
            states = await self._take_pointers(key, epoch, fingerprint)
            if any(state.mismatch for state in states):
                raise errors.RequestError(
                    'the idempotency key was used for another request',
                    'key',
                    status=422,
                )
            highest = max((s.epoch for s in states), default=epoch)
            if highest > epoch:
                # A clock behind another's: go on from the epoch in force.
                epoch = (((highest >> 16) + 1) << 16) | self.tie
                continue
            former = {a for state in states for a in state.former}
            copy = await self._take_copies(key, epoch, former)
            return Taken(epoch, copy)
        raise errors.RequestError(
            'other entries are taking this request over',
            'key',
            status=409,
            ran=errors.Ran.UNKNOWN,
            retry_after=1.0,
        )

    def register(self, key: str, epoch: int, fingerprint: str) -> None:
        """Register a key that was made here, without waiting."""
        take = messages.PointerTake(key, epoch, fingerprint, self.copies())
        for home in decisions.homes(key, self.entries(), POINTER_HOMES):
            if home.peer == self.own:
                self.store.take_pointer(take, time.monotonic())
            else:
                self.transport.send(home.peer, take)

    async def _take_pointers(
        self, key: str, epoch: int, fingerprint: str
    ) -> list[messages.PointerState]:
        take = messages.PointerTake(key, epoch, fingerprint, self.copies())
        homes = decisions.homes(key, self.entries(), POINTER_HOMES)
        return await self._ask([home.peer for home in homes], take)

    async def _take_copies(
        self, key: str, epoch: int, former: set[str]
    ) -> messages.CopyState | None:
        states = await self._ask(sorted(former), messages.CopyTake(key, epoch))
        found = [s for s in states if s.granted and s.written]
        if not found:
            return None
        # The last writer's text; of its copies the longest.
        best = max(found, key=lambda s: (s.written, len(s.tokens)))
        node.log_decision(
            'take over',
            request=key,
            offset=len(best.tokens),
            finish=best.finish,
            reason='another entry served this key',
        )
        return best

    async def _ask(self, addresses: list[str], message: t.Any) -> list[t.Any]:
        answers = await asyncio.gather(
            *(self._ask_one(address, message) for address in addresses)
        )
        return [answer for answer in answers if answer is not None]

    async def _ask_one(self, address: str, message: t.Any) -> t.Any:
        if address == self.own:
            now = time.monotonic()
            if isinstance(message, messages.PointerTake):
                return self.store.take_pointer(message, now)
            return self.store.take(message, now)
        try:
            return await self.transport.request(address, message, ASK_S)
        except errors.PeerError:
            return None

    async def _on_pointer(
        self, take: messages.PointerTake
    ) -> messages.PointerState:
        return self.store.take_pointer(take, time.monotonic())

    async def _on_take(self, take: messages.CopyTake) -> messages.CopyState:
        return self.store.take(take, time.monotonic())

    async def _on_batch(
        self, batch: messages.CopyBatch
    ) -> messages.CopyBatchAck:
        return self.store.append_all(batch, time.monotonic())
