"""Remembers when engines were lost, to tell common causes from crashes."""

import collections
import collections.abc as cabc
import typing as t

import attrs

# The engines of a data centre that loses power fall silent within this time of
# each other.
LOSS_SPREAD_S: t.Final = 0.6
# Losses of one data centre within this time may have a common cause.
CORRELATED_WINDOW_S: t.Final = 1.3
MAX_LOSSES: t.Final = 2_000


@attrs.frozen
class EngineLoss:
    """The loss of an engine.

    :param location: service and data centre.
    :param at: when it was noticed.
    """

    engine: str
    location: tuple[str, str]
    at: float


class EngineLosses:
    """The latest losses of engines, each counted once until it is back.

    An address whose engine was lost stays down until it answers, whatever
    instance is listed there meanwhile.

    :param addresses_at: returns the addresses of the listed engines of a
        location.
    """

    def __init__(
        self,
        addresses_at: cabc.Callable[
            [tuple[str, str]], cabc.Iterable[str]
        ] = lambda location: (),
    ) -> None:
        self.addresses_at = addresses_at
        self.losses: collections.deque[EngineLoss] = collections.deque(
            maxlen=MAX_LOSSES
        )
        self.locations: dict[str, tuple[str, str]] = {}
        # In the order of their losses.
        self.down: dict[str, None] = {}

    def record(
        self,
        engine: str,
        location: tuple[str, str],
        now: float,
        address: str = '',
    ) -> None:
        """Record a loss; further failures at its address change nothing."""
        self._locate(engine, location)
        address = address or engine
        if address not in self.down:
            self.down[address] = None
            while len(self.down) > 2 * MAX_LOSSES:
                del self.down[next(iter(self.down))]
            self.losses.append(EngineLoss(engine, location, now))

    def record_alive(self, address: str) -> None:
        """Record that the engine at an address answers requests."""
        self.down.pop(address, None)

    def record_crash(self, engine: str, now: float) -> None:
        """Record that an engine was lost while it ran a request.

        It was back since an earlier loss, even if it has answered nothing.
        """
        location = self.locations.get(engine)
        if location is not None and not self._is_recent(engine, now):
            self.losses.append(EngineLoss(engine, location, now))

    def near(self, engine: str, at: float) -> list[EngineLoss]:
        """Return the losses in an engine's data centre at about a time.

        Empty if the engine's own loss isn't known.
        """
        location = self.locations.get(engine)
        return [
            loss
            for loss in self.losses
            if loss.location == location
            and abs(loss.at - at) <= CORRELATED_WINDOW_S
        ]

    def has_survivors(self, losses: list[EngineLoss], now: float) -> bool:
        """Whether other engines have survived the loss of these.

        :param losses: losses of one data centre.
        """
        first_at = min(loss.at for loss in losses)
        if now - first_at <= LOSS_SPREAD_S:
            return False
        addresses = self.addresses_at(losses[0].location)
        return any(address not in self.down for address in addresses)

    def _is_recent(self, engine: str, now: float) -> bool:
        return any(
            loss.engine == engine and now - loss.at <= CORRELATED_WINDOW_S
            for loss in reversed(self.losses)
        )

    def _locate(self, engine: str, location: tuple[str, str]) -> None:
        self.locations[engine] = location
        while len(self.locations) > 2 * MAX_LOSSES:
            del self.locations[next(iter(self.locations))]
