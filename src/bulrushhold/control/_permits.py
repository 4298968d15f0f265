"""Grants permits for servers with a request limit to entries."""

import collections.abc as cabc
import random

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports


class PermitServer:
    """Answers the entries that have this process as a server's home."""

    def __init__(
        self, transport: ports.Transport, clock: cabc.Callable[[], float]
    ) -> None:
        self.clock = clock
        self.home = decisions.PermitHome(random.Random())
        transport.handle(messages.PermitAsk, self._on_ask)

    async def _on_ask(self, ask: messages.PermitAsk) -> messages.PermitGrant:
        return self.home.grant(ask, self.clock())
