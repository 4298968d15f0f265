"""Finds out what became of engines that streams left as silent.

A few entries also probe engines that others have lost: those were silent, too,
or are back.
"""

import asyncio
import typing as t

from bulrushhold.forwarding import _context
from bulrushhold import node

CHECK_INTERVAL_S: t.Final = 0.5
# A sound engine may be silent for a second or two.
MAX_SILENCE_S: t.Final = 3.0


class SilenceMonitor:
    """Probes silent engines until they answer or have ended.

    Without it, nothing would show that an engine crashed under a request if
    it closed no connection.
    """

    def __init__(self, context: _context.ForwardingContext) -> None:
        self.context = context
        self.placement = context.placement

    async def watch(self) -> None:
        """Check all silent engines again and again."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Check all silent engines once."""
        reported = self.placement.reported_to_probe(
            self.context.entry, self.context.clock()
        )
        await asyncio.gather(
            *map(self._check, list(self.placement.silent_since)),
            *map(self._check_reported, reported),
        )

    async def _check(self, ident: str) -> None:
        probes = self.context.probes
        backend = self.placement.backends.get(ident)
        if backend is None:
            return
        alive, ended = await asyncio.gather(
            probes.is_alive(backend), probes.has_ended(backend)
        )
        now = self.context.clock()
        since = self.placement.silent_since.get(ident)
        if since is None:
            return
        if alive:
            self.placement.record_answer(ident, now)
        elif ended or now - since > MAX_SILENCE_S:
            self.context.confirm_crash(ident)

    async def _check_reported(self, ident: str) -> None:
        backend = self.placement.backends.get(ident)
        lost_at = self.placement.reported_losses.lost_at.get(ident)
        if backend is None or lost_at is None:
            return
        if not await self.context.probes.is_alive(backend):
            return
        if self.placement.reported_losses.lost_at.get(ident) == lost_at:
            self.placement.record_reported_answer(ident)
            self.context.metrics.count('engines.reported_answering_again')
            node.log_decision('lost server answers', backend=ident)
