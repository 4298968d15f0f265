"""Quarantine of poison requests, which crash the engines they run on."""

import abc
import asyncio
import collections.abc as cabc
import contextlib
import time
import typing as t

from bulrushhold.entry import _control
from bulrushhold import errors
from bulrushhold import messages

PROPOSE_TIMEOUT_S: t.Final = 10.0


class Quarantine(abc.ABC):
    """Quarantines request contents, by their fingerprints, at all entries."""

    @abc.abstractmethod
    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request content is quarantined."""

    @abc.abstractmethod
    def add(self, fingerprint: str, reason: str) -> None:
        """Quarantine a request content at all entries."""

    @abc.abstractmethod
    def report_crash(self, fingerprints: list[str]) -> None:
        """Report the contents that ran on a crashed engine to all entries."""


class SharedQuarantine(Quarantine):
    """Quarantines contents at this entry, and through control at all others.

    ``pending`` holds the fingerprints that the table doesn't list yet.

    :param refuse_streams: fails this entry's streams of quarantined contents.
    :param spawn: runs a coroutine in the background.
    :param poll_s: seconds between polls of the table.
    """

    def __init__(
        self,
        control: _control.ControlClient,
        table: _control.TableView,
        refuse_streams: cabc.Callable[[frozenset[str]], None],
        spawn: cabc.Callable[[t.Coroutine[t.Any, t.Any, t.Any]], None],
        poll_s: float,
    ) -> None:
        self.control = control
        self.table = table
        self.refuse_streams = refuse_streams
        self.spawn = spawn
        self.poll_s = poll_s
        self.pending: set[str] = set()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request content is quarantined."""
        return (
            fingerprint in self.pending
            or fingerprint in self.table.quarantined
        )

    def add(self, fingerprint: str, reason: str) -> None:
        """Quarantine a request content at all entries."""
        self.pending.add(fingerprint)
        self.refuse_streams(frozenset(self.pending))
        self.spawn(self._propose_quarantine(fingerprint, reason))

    def report_crash(self, fingerprints: list[str]) -> None:
        """Report the contents that ran on a crashed engine to all entries."""
        self.spawn(self._propose(messages.Suspected(fingerprints)))

    async def _propose(self, command: messages.Message) -> None:
        while True:
            with contextlib.suppress(errors.PeerError):
                await self.control.propose(command, PROPOSE_TIMEOUT_S)
                break

    async def _propose_quarantine(self, fingerprint: str, reason: str) -> None:
        await self._propose(
            messages.Quarantine(fingerprint, reason, time.time())
        )
        # The table lists it by now. If it stayed pending, lifting the
        # quarantine would have no effect at this entry.
        await asyncio.sleep(2 * self.poll_s)
        self.pending.discard(fingerprint)
