"""Copies of promised returns, for the loss of a scheduling home."""

import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages

# Copies are sent again at this interval, as their receiver may have become the
# home, restarted or been suspended. Callers mostly return after seconds.
RESEND_S: t.Final = 1.0
# Time for which a copy is kept after the promised return, so that one that was
# delayed on its way isn't taken for another promise.
KEPT_S: t.Final = 1.0
# Usual differences in the time that messages take.
JITTER_S: t.Final = 0.05


@attrs.frozen
class _Copy:
    promised: messages.PromisedReturn
    return_at: float


class PromiseCopies:
    """Promised returns that this process has made or received.

    :param local_address: of this process.
    """

    def __init__(
        self, local_address: str, view: _clusterview.ClusterView
    ) -> None:
        self.local_address = local_address
        self.view = view
        self.copies: dict[str, _Copy] = {}
        self.sent_at = float('-inf')

    def add(self, promised: messages.PromisedReturn, now: float) -> None:
        """Keep a promise that this process has made."""
        self.copies[promised.fingerprint] = _Copy(
            promised, now + promised.return_s
        )

    def receive(self, promised: messages.PromisedReturn, now: float) -> bool:
        """Keep a promise that another process has sent.

        Processes send copies back to each other, so that the delays of their
        messages would add up; the earliest time is the most exact one.

        :return: whether it is new, or earlier than known.
        """
        copy = self.copies.get(promised.fingerprint)
        if (
            copy is not None
            and now < copy.return_at + KEPT_S
            and now + promised.return_s > copy.return_at - JITTER_S
        ):
            return False
        self.add(promised, now)
        return True

    def next_home(self, service: str) -> str:
        """Return the home if this process is lost; ``''`` if there is none."""
        return decisions.next_home_address(
            service, self.view.nodes, self.local_address
        )

    def take_due(
        self, now: float
    ) -> list[tuple[str, messages.PromisedReturn]]:
        """Return messages to homes, or to the next ones of this process.

        :return: pairs of an address and a message.
        """
        if now - self.sent_at < RESEND_S:
            return []
        self.sent_at = now
        self.copies = {
            fingerprint: copy
            for fingerprint, copy in self.copies.items()
            if copy.return_at + KEPT_S > now
        }
        due = []
        for copy in self.copies.values():
            if copy.return_at <= now:
                continue
            service = copy.promised.service
            address = decisions.home_address(service, self.view.nodes)
            if address == self.local_address:
                address = self.next_home(service)
            if address:
                return_s = copy.return_at - now
                due.append(
                    (address, attrs.evolve(copy.promised, return_s=return_s))
                )
        return due
