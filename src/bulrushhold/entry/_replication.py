"""Replicates transcripts to peer entries before callers see them."""

import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold.entry import _generation
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings

# Later replies are lost; the peer is then probed until it answers.
REPLY_TIMEOUT_S: t.Final = 1.0
PROBE_TIMEOUT_S: t.Final = 0.5
MAX_TOKENS_PER_APPEND: t.Final = 20_000


@attrs.define(eq=False)
class _Peer:
    """A peer that holds copies of this entry's transcripts.

    :param dirty: generations with tokens that the peer hasn't stored.
    :param answering: whether the peer has answered the last batch.
    """

    address: str
    dirty: dict[str, _generation.Generation] = attrs.field(factory=dict)
    has_work: asyncio.Event = attrs.field(factory=asyncio.Event)
    answering: bool = True

    def add(self, generations: dict[str, _generation.Generation]) -> None:
        """Schedule generations for replication."""
        self.dirty.update(generations)
        self.has_work.set()


class TranscriptReplicator:
    """Replicates the tokens of all streams, batched per peer.

    Each peer has at most one batch in flight, and batches are at least
    ``batch_s`` apart: an idle entry sends each token immediately, a loaded
    one combines the tokens of many streams in one message.

    :param on_peers_changed: called when the set of peers changes.
    """

    def __init__(
        self,
        config: settings.Copies,
        transport: ports.Transport,
        metrics: ports.Metrics,
        on_peers_changed: cabc.Callable[[], None] = lambda: None,
    ) -> None:
        self.config = config
        self.transport = transport
        self.metrics = metrics
        self.on_peers_changed = on_peers_changed
        self.choice = decisions.CopyPeers(config.count)
        self.peers: dict[str, _Peer] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.unfinished: dict[str, _generation.Generation] = {}

    def set_candidates(self, addresses: list[str]) -> None:
        """Replace the possible peers, given in order of preference."""
        self.choice.update_candidates(addresses)
        self._apply_choice()

    def replicate(self, generation: _generation.Generation) -> None:
        """Send a transcript's new tokens or its end to the peers."""
        self.unfinished[generation.key] = generation
        for peer in self.peers.values():
            peer.add({generation.key: generation})
        if not self.choice.awaited:
            self.update_visible(generation)

    def resend(self, address: str) -> None:
        """Send all unfinished transcripts to a peer that may lack them.

        Appends after a restart of the peer would do so as well, but a stream
        that waits for its engine has none.
        """
        peer = self.peers.get(address)
        if peer is not None:
            peer.add(self.unfinished)

    def forget(self, generation: _generation.Generation) -> None:
        """Stop replicating a generation that has ended."""
        if self.unfinished.get(generation.key) is generation:
            del self.unfinished[generation.key]

    async def close(self) -> None:
        """Stop replicating."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_visible(self, generation: _generation.Generation) -> None:
        """Make visible the tokens that every awaited peer has stored.

        With no such peer all tokens become visible, so that losing the
        copies doesn't also stop the answer.
        """
        awaited = self.choice.awaited
        acked = [generation.acked.get(address, 0) for address in awaited]
        length = len(generation.transcript.tokens)
        self._record_copied(generation, copied=bool(awaited))
        generation.advance_visible(min([length, *acked]))
        if generation.fully_visible:
            self.unfinished.pop(generation.key, None)

    def _record_copied(
        self, generation: _generation.Generation, *, copied: bool
    ) -> None:
        if not self.config.count or not self.peers:
            return
        if not copied:
            self.metrics.count('copies.none')
        if copied != generation.copied:
            generation.copied = copied
            node.log_decision(
                'stream copied again' if copied else 'stream not copied',
                request=generation.key,
                offset=len(generation.transcript.tokens),
                peers=dict(self.choice.members),
                reason='' if copied else 'no copy peer answers in time',
            )

    def _update_all_visible(self) -> None:
        for generation in list(self.unfinished.values()):
            self.update_visible(generation)

    # Peers

    def _apply_choice(self) -> None:
        """Start and stop replicating as the choice of peers demands."""
        members = self.choice.members
        removed = self.peers.keys() - members.keys()
        added = members.keys() - self.peers.keys()
        for address in removed:
            del self.peers[address]
            self.tasks.pop(address).cancel()
            for generation in self.unfinished.values():
                generation.acked.pop(address, None)
        for address in added:
            peer = _Peer(address, dirty=dict(self.unfinished))
            peer.has_work.set()
            self.peers[address] = peer
            self.tasks[address] = asyncio.get_running_loop().create_task(
                self._replicate_to(peer)
            )
        if removed or added:
            node.log_decision('copy peers', peers=dict(members))
            self.on_peers_changed()
        self._update_all_visible()

    def _on_late(self, peer: _Peer) -> None:
        status = self.choice.members.get(peer.address)
        if status is not decisions.CopyPeerStatus.LATE:
            self.metrics.count('copies.peer_late')
            self.choice.on_late(peer.address)
            self._apply_choice()

    def _on_answered(self, peer: _Peer) -> None:
        status = self.choice.members.get(peer.address)
        if status is not decisions.CopyPeerStatus.SYNCED:
            self.choice.on_acknowledged(peer.address)
            self._apply_choice()

    # Batches

    async def _replicate_to(self, peer: _Peer) -> None:
        while True:
            await peer.has_work.wait()
            peer.has_work.clear()
            started = time.monotonic()
            if peer.answering:
                batch, peer.dirty = peer.dirty, {}
                await self._send(peer, batch)
            else:
                await self._probe(peer)
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(0.0, self.config.batch_s - elapsed))

    async def _send(
        self, peer: _Peer, batch: dict[str, _generation.Generation]
    ) -> None:
        generations = list(batch.values())
        appends = [self._append_for(peer, g) for g in generations]
        late_timer = asyncio.get_running_loop().call_later(
            self.config.ack_s, self._on_late, peer
        )
        try:
            reply = await self.transport.request(
                peer.address, messages.CopyBatch(appends), REPLY_TIMEOUT_S
            )
        except errors.PeerError as error:
            loguru.logger.warning('copy peer lost: {}', error)
            self.metrics.count('copies.peer_lost')
            peer.answering = False
            # Without its answer, it isn't known which appends were stored.
            peer.add(self.unfinished)
            self._on_late(peer)
            return
        finally:
            late_timer.cancel()
        exceptions = {ack.number: ack for ack in reply.exceptions}
        for number, append in enumerate(appends):
            ack = exceptions.get(number)
            length = append.offset + len(append.tokens)
            self._apply_ack(
                peer,
                generations[number],
                length if ack is None else ack.length,
                fenced=ack is not None and not ack.ok,
            )
        self._on_answered(peer)

    async def _probe(self, peer: _Peer) -> None:
        """Ask with an empty batch whether a peer answers again.

        Repeated transcripts would pile up at a peer that is only slow.
        """
        started = time.monotonic()
        try:
            await self.transport.request(
                peer.address, messages.CopyBatch([]), PROBE_TIMEOUT_S
            )
            peer.answering = True
        except errors.PeerError:
            # A peer that is starting replies with an error at once.
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(0.0, PROBE_TIMEOUT_S - elapsed))
        # A restarted peer has lost its copies, so everything is sent again.
        peer.add(self.unfinished)

    def _append_for(
        self, peer: _Peer, generation: _generation.Generation
    ) -> messages.CopyAppend:
        offset = generation.acked.get(peer.address, 0)
        transcript = generation.transcript
        tokens = transcript.tokens[offset : offset + MAX_TOKENS_PER_APPEND]
        complete = offset + len(tokens) == len(transcript.tokens)
        return messages.CopyAppend(
            generation.key,
            generation.epoch,
            offset,
            tokens,
            transcript.version,
            transcript.finish if complete else '',
        )

    def _apply_ack(
        self,
        peer: _Peer,
        generation: _generation.Generation,
        length: int,
        *,
        fenced: bool,
    ) -> None:
        if fenced:
            generation.fence(peer.address)
            self.unfinished.pop(generation.key, None)
            return
        generation.acked[peer.address] = length
        if length < len(generation.transcript.tokens):
            peer.add({generation.key: generation})
        self.update_visible(generation)
