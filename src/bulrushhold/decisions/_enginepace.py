"""The pace of backend servers: how long work takes there at this moment.

A server on a shared host states its pace in its responses. A pace lasts for
less than a second, so that it only serves decisions which take effect at once,
and isn't passed on to other entries.
"""

import collections.abc as cabc
import typing as t

import attrs

# A pace lasts 0.6 s on average, and is half as old when it is first known.
HALF_LIFE_S: t.Final = 0.3
# After this time, a pace says nothing about the present.
TTL_S: t.Final = 1.0
# Window of the lowest pace of a server. One that shows no usual pace for so
# long states it incorrectly, or has become slow, which its times show.
USUAL_WINDOW_S: t.Final = 10.0
USUAL_PACE: t.Final = 1.0


@attrs.define
class _Statement:
    """The last pace that a server stated, and its lowest ones.

    :param lowest: since ``window_began_at``.
    :param usual: lowest of the window before, at least 1.0.
    """

    pace: float
    at: float
    window_began_at: float
    lowest: float
    usual: float = USUAL_PACE

    def record(self, pace: float, now: float) -> None:
        if now - self.window_began_at >= USUAL_WINDOW_S:
            self.usual = max(USUAL_PACE, self.lowest)
            self.window_began_at = now
            self.lowest = pace
        self.lowest = min(self.lowest, pace)
        self.usual = max(USUAL_PACE, min(self.usual, pace))
        self.pace = pace
        self.at = now


class EnginePaces:
    """The newest pace of each server as this entry knows it."""

    def __init__(self) -> None:
        self.statements: dict[str, _Statement] = {}

    def record(self, ident: str, pace: float, now: float) -> None:
        """Record the pace that a response states.

        :param pace: 1.0 as usual; 2.5 if work takes 2.5 times as long.
        """
        statement = self.statements.get(ident)
        if statement is None:
            self.statements[ident] = _Statement(pace, now, now, pace)
        else:
            statement.record(pace, now)

    def pace(self, ident: str, now: float) -> float:
        """Return the pace expected now, relative to the server's usual one.

        It decays to 1.0 with the age of the statement.
        """
        statement = self.statements.get(ident)
        if statement is None or now - statement.at >= TTL_S:
            return USUAL_PACE
        share = 0.5 ** (max(0.0, now - statement.at) / HALF_LIFE_S)
        return 1 + (statement.pace / statement.usual - 1) * share

    def age_s(self, ident: str, now: float) -> float | None:
        """Return the age of a server's pace; ``None`` if it is unknown."""
        statement = self.statements.get(ident)
        return None if statement is None else max(0.0, now - statement.at)

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these."""
        self.statements = {
            ident: statement
            for ident, statement in self.statements.items()
            if ident in idents
        }
