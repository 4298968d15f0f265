"""The replicated part of rollouts: orders, elapsed time and outcomes."""

import attrs

from bulrushhold import messages


@attrs.define
class RolloutTable:
    """The newest rollout of each service."""

    rollouts: dict[str, messages.Rollout] = attrs.field(factory=dict)

    def start(
        self,
        command: messages.RolloutStart,
        route_map: messages.RouteMapPut | None,
    ) -> messages.RolloutOutcome:
        """Start a rollout, or acknowledge an order that was sent again."""
        order = command.order
        status = self._check(command, route_map)
        existing = self.rollouts.get(order.service)
        if status is None:
            number = existing.number + 1 if existing else 1
            self.rollouts[order.service] = messages.Rollout(
                order.service, number, order.target, order.duration_s
            )
            status = messages.OrderStatus.ACCEPTED
        return messages.RolloutOutcome(status)

    def _check(
        self,
        command: messages.RolloutStart,
        route_map: messages.RouteMapPut | None,
    ) -> messages.OrderStatus | None:
        """Return why an order starts nothing, or ``None`` if it does."""
        order = command.order
        if route_map is None:
            return messages.OrderStatus.NO_ROUTE_MAP
        services = messages.unpack_services(route_map.packed)
        if all(service.name != order.service for service in services):
            return messages.OrderStatus.UNKNOWN_SERVICE
        existing = self.rollouts.get(order.service)
        if existing is None:
            return None
        is_running = existing.state is messages.RolloutState.RUNNING
        is_same = (existing.target, existing.duration_s) == (
            order.target,
            order.duration_s,
        )
        if is_same and (is_running or command.may_be_resend):
            return messages.OrderStatus.ACCEPTED
        return messages.OrderStatus.IN_PROGRESS if is_running else None

    def record_progress(self, command: messages.RolloutProgress) -> None:
        """Record the elapsed time of a running rollout."""
        rollout = self._running(command.service, command.number)
        if rollout is not None:
            elapsed_s = max(rollout.elapsed_s, command.elapsed_s)
            self.rollouts[command.service] = attrs.evolve(
                rollout, elapsed_s=elapsed_s
            )

    def end(self, command: messages.RolloutEnd) -> None:
        """End a running rollout; a final state never changes."""
        rollout = self._running(command.service, command.number)
        if rollout is not None:
            self.rollouts[command.service] = attrs.evolve(
                rollout, state=command.state
            )

    def _running(self, service: str, number: int) -> messages.Rollout | None:
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.number != number:
            return None
        is_running = rollout.state is messages.RolloutState.RUNNING
        return rollout if is_running else None
