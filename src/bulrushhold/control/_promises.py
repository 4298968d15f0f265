"""Copies of promised returns, for the loss of a scheduling home."""

import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages

# Copies are sent again at this interval, as their receiver may have become the
# home, restarted or been suspended. Callers mostly return after seconds.
RESEND_S: t.Final = 1.0


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
        """Keep a promise until its caller has returned."""
        self.copies[promised.fingerprint] = _Copy(
            promised, now + promised.return_s
        )

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
            if copy.return_at > now
        }
        due = []
        for copy in self.copies.values():
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
