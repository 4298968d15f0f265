"""Gets permits for limited servers from control processes."""

import collections.abc as cabc
import time
import typing as t

import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

PERMIT_TIMEOUT_S: t.Final = 0.15
# An unreachable home is not asked again for this time; the cluster view names
# another one by then.
HOME_BACKOFF_S: t.Final = 1.0


class ControlPermitSource(ports.PermitSource):
    """Asks the control process that is the server's home.

    :param nodes: returns the control processes.
    """

    def __init__(
        self,
        transport: ports.Transport,
        nodes: cabc.Callable[[], list[messages.ControlNode]],
    ) -> None:
        self.transport = transport
        self.nodes = nodes
        self.failed_at: dict[str, float] = {}

    async def request(self, ask: messages.PermitAsk) -> messages.PermitGrant:
        """Ask for a permit; see :meth:`ports.PermitSource.request`."""
        home = decisions.home_address(ask.server, self.nodes())
        now = time.monotonic()
        if now - self.failed_at.get(home, float('-inf')) < HOME_BACKOFF_S:
            raise errors.PeerError('unreachable', 'PermitAsk', home)
        if not home:
            raise errors.PeerError('no control process', 'PermitAsk')
        try:
            grant = await self.transport.request(home, ask, PERMIT_TIMEOUT_S)
        except errors.PeerError as error:
            self.failed_at[home] = time.monotonic()
            loguru.logger.bind(peer=home, error=str(error)).warning(
                'permit home unreachable'
            )
            raise
        assert isinstance(grant, messages.PermitGrant)
        return grant
