"""Ownership of idempotency keys, and takeover from another entry."""

import asyncio
import collections.abc as cabc
import functools
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

REQUEST_TIMEOUT_S: t.Final = 0.4
MAX_ROUNDS: t.Final = 4
RETRY_AFTER_S: t.Final = 1.0


@attrs.frozen
class KeyOwnership:
    """A key that this entry has acquired.

    :param start_epoch: epoch in which the text was started.
    :param previous_copy: transcript of the previous owner, if one was found.
    """

    epoch: int
    start_epoch: int
    previous_copy: messages.CopyState | None


class KeyRegistrar:
    """Registers this entry as a key's owner and fetches its transcript.

    A key's homes are entries chosen by rendezvous hashing. Each holds a
    pointer: the owner's epoch and the addresses of the transcript's copies.

    :param copy_peers: returns the addresses that this entry replicates to.
    """

    def __init__(
        self,
        config: settings.Entry,
        transport: ports.Transport,
        store: decisions.CopyStore,
        entries: cabc.Callable[[], list[ports.Instance]],
        copy_peers: cabc.Callable[[], list[str]],
    ) -> None:
        self.config = config
        self.transport = transport
        self.store = store
        self.entries = entries
        self.copy_peers = copy_peers
        self.own_address = str(config.peer)
        self.requests: set[asyncio.Task[t.Any]] = set()
        # Keys of which a home hasn't answered.
        self.missed_keys: set[str] = set()
        self.epoch_suffix = (
            xxhash.xxh3_64_intdigest(config.name.encode()) & 0xFFFF
        )
        transport.handle(messages.PointerTake, self._on_pointer)
        transport.handle(messages.CopyBatch, self._on_batch)
        transport.handle(messages.CopyTake, self._on_take)

    def new_epoch(self) -> int:
        """Return an epoch unique to this entry: time, then a name hash."""
        return (int(time.time() * 1000) << 16) | self.epoch_suffix

    async def acquire(
        self, key: str, fingerprint: str, received: int
    ) -> KeyOwnership:
        """Become the only owner of a key.

        :param received: number of tokens that the caller already has.
        :raises RequestError: if the key was used for other content, too
            few of its homes answer, or the caller's tokens may belong to
            a text of which no copy was found.
        """
        epoch = self.new_epoch()
        no_majority = False
        for remaining_rounds in reversed(range(MAX_ROUNDS)):
            pointers = await self._take_pointers(
                key, epoch, fingerprint, _is_conclusive
            )
            if pointers.mismatch:
                raise errors.RequestError(
                    'the idempotency key was used for another request',
                    'key',
                    status=422,
                )
            if not pointers.majority:
                no_majority = True
                continue
            if pointers.epoch > epoch:
                # This clock is behind: use an epoch above the current one.
                epoch = (
                    ((pointers.epoch >> 16) + 1) << 16
                ) | self.epoch_suffix
                continue
            copy, all_answered = await self._take_copies(key, epoch, pointers)
            copy_length = len(copy.tokens) if copy else 0
            copy_missing = received > copy_length and not all_answered
            home_missing = received and not (
                pointers.conclusive or pointers.complete
            )
            if remaining_rounds and (copy_missing or home_missing):
                # A busy home or holder of a copy may answer the next time.
                continue
            if received and (
                received > copy_length or not pointers.conclusive
            ):
                node.log_decision(
                    'answer not known',
                    request=key,
                    received=received,
                    copied=copy_length,
                    holders=pointers.copy_addresses,
                    holders_answered=all_answered,
                    start_epoch=pointers.start_epoch,
                    conclusive=pointers.conclusive,
                    homes_answered=pointers.complete,
                )
                raise errors.RequestError(
                    f'the answer is not known up to token {received}; send '
                    'the request again with a new key',
                    'resume',
                    ran=errors.Ran.UNKNOWN,
                    status=410,
                )
            if copy is not None and not (copy.tokens or copy.finish):
                copy = None
            if copy is not None:
                return KeyOwnership(epoch, pointers.start_epoch, copy)
            if await self._register_new_text(key, epoch, fingerprint):
                return KeyOwnership(epoch, epoch, None)
        if no_majority:
            raise self._no_majority_error()
        raise errors.RequestError(
            'other entries are taking over this request',
            'key',
            status=409,
            ran=errors.Ran.UNKNOWN,
            retry_after=RETRY_AFTER_S,
        )

    def _no_majority_error(self) -> errors.RequestError:
        return errors.RequestError(
            'too few homes of the idempotency key can be reached',
            'key',
            ran=errors.Ran.UNKNOWN,
            status=503,
            retry_after=RETRY_AFTER_S,
        )

    async def register(self, key: str, epoch: int, fingerprint: str) -> bool:
        """Register a key created here; return whether a majority has it."""
        for _ in range(MAX_ROUNDS):
            if await self._register_new_text(key, epoch, fingerprint):
                return True
        return False

    async def _register_new_text(
        self, key: str, epoch: int, fingerprint: str
    ) -> bool:
        """Register the epoch of a new text at a majority of the homes."""
        pointers = await self._take_pointers(
            key, epoch, fingerprint, _is_majority, new_text=True
        )
        return pointers.majority and pointers.epoch == epoch

    async def still_owned(
        self, key: str, epoch: int, fingerprint: str
    ) -> bool:
        """Whether this entry still owns a key.

        A caller may reconnect to an entry that hasn't noticed a takeover
        by another one, which may have started a different text.

        :raises RequestError: if too few homes answer.
        """
        for _ in range(MAX_ROUNDS):
            pointers = await self._take_pointers(
                key, epoch, fingerprint, _is_majority
            )
            if pointers.majority:
                return pointers.epoch == epoch
        raise self._no_majority_error()

    def refresh(
        self,
        key: str,
        epoch: int,
        start_epoch: int,
        fingerprint: str,
        only: cabc.Container[str] | None = None,
    ) -> None:
        """Renew this entry's ownership at a key's homes, without waiting.

        Otherwise the homes would drop the pointer of a long-running text,
        and an entry that becomes a home later would never get one.

        :param only: addresses of the homes to renew it at; all by default.
        """
        request = messages.PointerTake(
            key, epoch, fingerprint, self.copy_peers(), since=start_epoch
        )
        for home in decisions.pointer_homes(key, self.entries()):
            if only is not None and home.peer not in only:
                continue
            if home.peer == self.own_address:
                self.store.take_pointer(request, time.monotonic())
            else:
                self.transport.send(home.peer, request)

    async def _take_pointers(
        self,
        key: str,
        epoch: int,
        fingerprint: str,
        suffices: cabc.Callable[[decisions.PointerSummary], bool],
        *,
        new_text: bool = False,
    ) -> decisions.PointerSummary:
        """Take a key's pointers until the answers suffice.

        Waiting for a home that is down would delay a takeover by the whole
        timeout, and the lost owner is often a home itself.
        """
        request = messages.PointerTake(
            key, epoch, fingerprint, self.copy_peers(), new_text
        )
        homes = decisions.pointer_homes(key, self.entries())
        pending = self._start_requests([home.peer for home in homes], request)
        for task in pending:
            task.add_done_callback(functools.partial(self._note_missed, key))
        states: list[messages.PointerState] = []
        summary = decisions.summarize_pointers(states, len(homes))
        while pending and not suffices(summary):
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            answers = [task.result() for task in done]
            states += [answer for answer in answers if answer is not None]
            summary = decisions.summarize_pointers(states, len(homes))
        return summary

    def _note_missed(self, key: str, request: asyncio.Task[t.Any]) -> None:
        if not request.cancelled() and request.result() is None:
            self.missed_keys.add(key)

    async def _take_copies(
        self, key: str, epoch: int, pointers: decisions.PointerSummary
    ) -> tuple[messages.CopyState | None, bool]:
        """Return the copy to resume, and whether all holders answered."""
        tasks = self._start_requests(
            pointers.copy_addresses, messages.CopyTake(key, epoch)
        )
        answers = await asyncio.gather(*tasks)
        states = [answer for answer in answers if answer is not None]
        best = decisions.best_copy(states, pointers.start_epoch)
        if best is not None:
            node.log_decision(
                'take over',
                request=key,
                offset=len(best.tokens),
                finish=best.finish,
                reason='another entry served this key',
            )
        return best, len(states) == len(answers)

    def _start_requests(
        self, addresses: list[str], message: t.Any
    ) -> set[asyncio.Task[t.Any]]:
        """Send requests that go on even if nobody awaits their answers."""
        loop = asyncio.get_running_loop()
        tasks = {
            loop.create_task(self._request_one(address, message))
            for address in addresses
        }
        self.requests |= tasks
        for task in tasks:
            task.add_done_callback(self.requests.discard)
        return tasks

    async def _request_one(self, address: str, message: t.Any) -> t.Any:
        if address == self.own_address:
            now = time.monotonic()
            if isinstance(message, messages.PointerTake):
                return self.store.take_pointer(message, now)
            return self.store.take_copy(message, now)
        try:
            return await self.transport.request(
                address, message, REQUEST_TIMEOUT_S
            )
        except errors.PeerError:
            return None

    async def _on_pointer(
        self, request: messages.PointerTake
    ) -> messages.PointerState:
        return self.store.take_pointer(request, time.monotonic())

    async def _on_take(self, request: messages.CopyTake) -> messages.CopyState:
        return self.store.take_copy(request, time.monotonic())

    async def _on_batch(
        self, batch: messages.CopyBatch
    ) -> messages.CopyBatchAck:
        return self.store.append_all(batch, time.monotonic())


def _is_majority(pointers: decisions.PointerSummary) -> bool:
    return pointers.majority


def _is_conclusive(pointers: decisions.PointerSummary) -> bool:
    return pointers.majority and pointers.conclusive
