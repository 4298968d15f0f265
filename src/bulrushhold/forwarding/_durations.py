"""How long recent requests of this entry took, from request to end."""

import bisect
import collections
import collections.abc as cabc
import typing as t

from bulrushhold import routes

MAX_SAMPLES: t.Final = 100
MIN_SAMPLES: t.Final = 10
ROUNDING: t.Final = 1e-9


class Durations:
    """The latest durations, by service and kind of request.

    Those of requests that may run only once are kept by route, too: another
    route's durations say nothing of them.
    """

    def __init__(self) -> None:
        self.seconds: dict[
            tuple[str, routes.Kind, str], collections.deque[float]
        ] = {}

    def record(
        self,
        service: str,
        kind: routes.Kind,
        seconds: float,
        route: str = '',
    ) -> None:
        """Record how long it took to answer a request, with any status.

        :param route: its name if the request may run only once.
        """
        samples = self.seconds.setdefault(
            (service, kind, route), collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(seconds)

    def quantile_s(
        self,
        service: str,
        kind: routes.Kind,
        share: float,
        running_s: cabc.Iterable[float],
        route: str = '',
    ) -> float:
        """Return the duration that a share of the requests doesn't exceed.

        Short requests end first. So those that still run count as longer than
        they have run so far (Kaplan and Meier, Nonparametric estimation from
        incomplete observations, 1958).

        :param running_s: how long others have been running so far.
        :param route: see :meth:`record`.
        :return: seconds, at least the longest known if that many haven't
            ended; 0 if there are too few of them.
        """
        ended = sorted(self.seconds.get((service, kind, route), ()))
        running = sorted(running_s)
        # One that has run for less than the usual tells nothing by itself.
        usual_s = ended[len(ended) // 2] if ended else 0.0
        if len(ended) + sum(s > usual_s for s in running) < MIN_SAMPLES:
            return 0.0
        longer = 1.0
        total = len(ended) + len(running)
        for number, seconds in enumerate(ended):
            at_risk = total - number - bisect.bisect_left(running, seconds)
            longer *= 1 - 1 / at_risk
            if longer <= 1 - share + ROUNDING:
                return seconds
        return max([*ended, *running])
