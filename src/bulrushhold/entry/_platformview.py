"""View of the live instances: the platform's list, checked by probes."""

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
    """Polls the platform's list of instances.

    The last list stays in use while the platform is unreachable, so that
    its outage doesn't stop the system.
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
        """This entry as an instance."""
        return ports.Instance(
            self.config.name,
            self.config.data_centre,
            str(self.config.http),
            str(self.config.peer),
        )

    def listed(self) -> list[ports.Instance]:
        """Return the listed entries that are live and not leaving."""
        return [
            entry
            for entry in self.entries
            if not entry.leaving and self.membership.usable(entry.name)
        ]

    def copy_candidates(self) -> list[str]:
        """Return the addresses of possible peers for transcript copies."""
        peers = decisions.copy_peers(
            self.own_instance, self.listed(), decisions.MAX_COPY_ADDRESSES
        )
        return [peer.peer for peer in peers]

    def engine_slots(self) -> int:
        """Return the total number of slots of the listed engines."""
        return sum(
            state.server.slots
            for state in self.router.states.values()
            if state.server.kind == 'engine'
            and state.listed
            and not state.server.leaving
        )

    def has_model(self, model: str) -> bool:
        """Whether any listed engine has the model."""
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
        """Fetch and apply the list once."""
        try:
            platform = await self.platform.fetch()
        except errors.PeerError as error:
            loguru.logger.warning('platform list not fetched: {}', error)
            return
        self.updated_at = time.monotonic()
        if platform is None:
            return
        self.entries = platform.entries
        self.membership.update_instances(platform.entries)
        self.router.update(platform.backend_servers)
        self.changed.set()
