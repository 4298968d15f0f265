"""Which opaque request kills the engines that it runs on.

Such a request comes again, by its caller or by going on elsewhere, and each
time an engine and all streams on it are lost. Innocent requests lose engines
too: when a data centre loses power, and when they run beside a crasher. So
only deaths of single engines count, and only several of them under the same
request name it.
"""

import collections.abc as cabc
import typing as t

import attrs
import xxhash

from bulrushhold import messages

# Engines lost under one request before it is refused. An innocent one that
# shares an engine with a crasher is placed elsewhere by its prompt, so that
# three such meetings in a row are rare; a crasher costs no more than these.
MAX_CRASHES: t.Final = 3
# Deaths this close in time, of this many engines in one data centre, have
# another cause: engines of one data centre fall silent within 0.6 s.
CORRELATED_WINDOW_S: t.Final = 1.3
MIN_CORRELATED_LOSSES: t.Final = 3
# An engine is back some seconds after a crash, and callers come again at
# once; one that was deployed anew may serve the request.
CRASH_TTL_S: t.Final = 60.0
MAX_FINGERPRINTS: t.Final = 10_000


def fingerprint(target: str, key: str, body: bytes) -> str:
    """Return what a request and its repetitions have in common.

    :param key: names the client account.
    """
    digest = xxhash.xxh3_64(f'{target}\n{key}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class _Crash:
    fingerprint: str
    engine: str
    at: float


class Crashers:
    """Deaths of engines by request, from this entry and all others.

    :param lost_near: returns how many engines of an engine's data centre
        were lost within some seconds of a moment, it included.
    """

    def __init__(
        self, lost_near: cabc.Callable[[str, float, float], int]
    ) -> None:
        self.lost_near = lost_near
        self.unconfirmed: list[_Crash] = []
        self.pending_reports: list[messages.CrashReport] = []
        self.crashes: dict[str, dict[str, float]] = {}

    def died(self, fingerprint: str, engine: str, now: float) -> None:
        """Learn that an engine died under a request of this entry."""
        self.unconfirmed.append(_Crash(fingerprint, engine, now))

    def settle(self, now: float) -> None:
        """Count the deaths that had the time to turn out as one of many."""
        due = [
            d for d in self.unconfirmed if now - d.at >= CORRELATED_WINDOW_S
        ]
        self.unconfirmed = [
            d for d in self.unconfirmed if now - d.at < CORRELATED_WINDOW_S
        ]
        for crash in due:
            nearby_losses = self.lost_near(
                crash.engine, crash.at, CORRELATED_WINDOW_S
            )
            if nearby_losses < MIN_CORRELATED_LOSSES:
                self._count(crash.fingerprint, crash.engine, now)
                self.pending_reports.append(
                    messages.CrashReport(crash.fingerprint, crash.engine)
                )

    def take_pending(self) -> list[messages.CrashReport]:
        """Return what other entries should know; each death only once."""
        pending_reports, self.pending_reports = self.pending_reports, []
        return pending_reports

    def report_again(self, reports: list[messages.CrashReport]) -> None:
        """Put back what may not have arrived."""
        self.pending_reports = reports + self.pending_reports

    def add_reports(
        self, reports: cabc.Iterable[messages.CrashReport], now: float
    ) -> None:
        """Count what other entries report."""
        for report in reports:
            self._count(report.fingerprint, report.engine, now)

    def served(self, fingerprint: str) -> None:
        """Learn that a request was served whole: it is no crasher."""
        self.crashes.pop(fingerprint, None)

    def refused_for(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request is refused; 0 for not."""
        crashes = self.crashes.get(fingerprint)
        if crashes is None:
            return 0.0
        recent = [at for at in crashes.values() if now - at < CRASH_TTL_S]
        if not recent:
            del self.crashes[fingerprint]
        if len(recent) < MAX_CRASHES:
            return 0.0
        return max(recent) + CRASH_TTL_S - now

    def _count(self, fingerprint: str, engine: str, now: float) -> None:
        self.crashes.setdefault(fingerprint, {})[engine] = now
        while len(self.crashes) > MAX_FINGERPRINTS:
            del self.crashes[next(iter(self.crashes))]
