"""The load of a service's engines, from what control processes know."""

import typing as t

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import routes

# For this time a lost engine is taken to be down, although it is listed.
LOST_S: t.Final = 1.0
# Marks an engine whose load isn't known.
NO_REPORT: t.Final = -1
_NO_LOAD: t.Final = messages.EngineLoad(0, 0)


class EngineRooms:
    """Combines the backend list, load reports and the route map.

    :param loads: load reports of all entries.
    """

    def __init__(
        self,
        view: _clusterview.ClusterView,
        loads: decisions.LoadAggregator,
    ) -> None:
        self.view = view
        self.loads = loads
        self.speeds = decisions.EngineSpeeds()
        self.map_version = 0
        self.services: dict[str, routes.Service] = {}

    def usable(self, service: str, now: float) -> list[decisions.EngineRoom]:
        """Return the engines of a service that can be used now."""
        limits = self._limits(service)
        loads = self.loads.engine_loads()
        unknown = messages.EngineLoad(NO_REPORT, 0)
        lost = self.loads.lost_since(now - LOST_S)
        slowness = self.loads.slowness.values
        rooms = []
        for engine in self.view.backends or ():
            if (
                engine.service != service
                or engine.leaving
                or engine.ident in lost
            ):
                continue
            load = (
                unknown if loads is None else loads.get(engine.ident, _NO_LOAD)
            )
            rooms.append(
                decisions.EngineRoom(
                    engine.ident,
                    load.reading,
                    load.running,
                    load.memory,
                    engine.slots or limits.slots,
                    limits.memory_tokens,
                    slowness.get(engine.ident, 1.0),
                    engine.version,
                )
            )
        return rooms

    def token_s(
        self, service: str, objective: decisions.LatencyObjective, now: float
    ) -> float:
        """Return the seconds that a mean engine needs for a prompt token.

        Under contention it is too short: prompts that are being read as
        another one is sent count in full.
        """
        self.speeds.apply_remote_samples(self.loads.speeds())
        return self.speeds.token_s(service, objective, now)

    def prompt_tokens(self, service: str) -> float:
        """Return the decayed sum of prompt tokens that engines have read."""
        speed = self.loads.speeds().get(service)
        return speed.prompt_tokens if speed is not None else 0.0

    def reporters(self) -> frozenset[str]:
        """Return the entries and processes whose reports are added up."""
        return self.loads.reporters()

    def _limits(self, service: str) -> routes.Service:
        view = self.view
        if view.route_map is not None and view.map_version != self.map_version:
            self.map_version = view.map_version
            self.services = {
                s.name: s for s in messages.unpack_services(view.route_map)
            }
        return self.services.get(service, routes.Service(service))
