"""Contents that kill engines, as a generation's runner sees them."""

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
    """Who may refuse a content everywhere."""

    @abc.abstractmethod
    def refused(self, fingerprint: str) -> bool:
        """Whether the content is quarantined."""

    @abc.abstractmethod
    def add(self, fingerprint: str, reason: str) -> None:
        """Have the content refused by every entry."""

    @abc.abstractmethod
    def report_crash(self, fingerprints: list[str]) -> None:
        """Tell every entry that an engine died under these contents."""


class SharedQuarantine(Quarantine):
    """Refuses contents here at once, and everywhere through control.

    :param refuse: has this entry's streams of these contents refused.
    :param spawn: runs work in the background.
    :param poll_s: seconds until the table here has what control has.
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

    def refused(self, fingerprint: str) -> bool:
        """Whether the content is quarantined."""
        return (
            fingerprint in self.pending
            or fingerprint in self.table.quarantined
        )

    def add(self, fingerprint: str, reason: str) -> None:
        """Have the content refused by every entry."""
        self.pending.add(fingerprint)
        self.refuse_streams(frozenset(self.pending))
        self.spawn(self._propose_quarantine(fingerprint, reason))

    def report_crash(self, fingerprints: list[str]) -> None:
        """Tell every entry that an engine died under these contents."""
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
        # From here on control's list counts, so that operators can lift.
        await asyncio.sleep(2 * self.poll_s)
        self.pending.discard(fingerprint)
