"""What this entry takes for live: the platform's list and its own signs."""

import asyncio
import time
import typing as t

import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import ports
from bulrushhold import settings

POLL_INTERVAL_S: t.Final = 1.0


class PlatformView:
    """Follows the platform's list.

    The last list stays in use while the platform can't be asked: an
    outage of the list must not become an outage of the system.
    """

    def __init__(
        self,
        config: settings.Entry,
        platform: ports.PlatformList,
        router: decisions.Router,
        membership: decisions.Membership,
    ) -> None:
        self.config = config
        self.platform = platform
        self.router = router
        self.membership = membership
        self.entries: list[ports.Instance] = []
        self.updated_at = 0.0
        self.changed = asyncio.Event()

    @property
    def own_instance(self) -> ports.Instance:
        """This entry as others should see it."""
        return ports.Instance(
            self.config.name,
            self.config.data_centre,
            str(self.config.http),
            str(self.config.peer),
        )

    def listed(self) -> list[ports.Instance]:
        """Return the entries that callers may use."""
        return [
            entry
            for entry in self.entries
            if not entry.leaving and self.membership.usable(entry.name)
        ]

    def copy_peers(self) -> list[str]:
        """Return the addresses that hold this entry's transcripts."""
        peers = decisions.copy_peers(
            self.own_instance, self.listed(), self.config.copies.count
        )
        return [peer.peer for peer in peers]

    def engine_slots(self) -> int:
        """Return the requests that all listed engines run well at once."""
        return sum(
            state.server.slots
            for state in self.router.states.values()
            if state.server.kind == 'engine'
            and state.listed
            and not state.server.leaving
        )

    def has_model(self, model: str) -> bool:
        """Whether any engine is listed with a model."""
        return any(
            model in state.server.models
            for state in self.router.states.values()
        )

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Ask the platform once."""
        try:
            platform = await self.platform.fetch()
        except errors.PeerError as error:
            loguru.logger.warning('platform list: {}', error)
            return
        self.updated_at = time.monotonic()
        if platform is None:
            return
        self.entries = platform.entries
        self.membership.update_list(platform.entries)
        self.router.update(platform.backend_servers)
        self.changed.set()
