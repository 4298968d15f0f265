"""Detect poison requests: opaque requests that crash engines.

A poison request is retried, by its caller or by the entry, and each time
crashes an engine with all its streams. Other requests lose engines as well:
in correlated failures such as a power loss, and when they share an engine
with a poison request. So only isolated crashes count, and several of them are
required to block a request.
"""

import collections.abc as cabc
import enum
import typing as t

import attrs
import xxhash

from bulrushhold import messages

# Crashes after which a request is blocked. A harmless request that shared an
# engine with a poison one is retried on another engine, so that this number of
# coincidences is rare.
MAX_CRASHES: t.Final = 3
# This many losses in one data centre within this time have a common cause: its
# engines fall silent within 0.6 s of each other when it loses power.
CORRELATED_WINDOW_S: t.Final = 1.3
MIN_CORRELATED_LOSSES: t.Final = 3
# Time after which a crash is forgotten: the engine may have been redeployed.
CRASH_TTL_S: t.Final = 60.0
MAX_FINGERPRINTS: t.Final = 10_000


def fingerprint(target: str, key: str, body: bytes) -> str:
    """Return a hash that is the same for all retries of a request.

    :param key: key of the client account.
    """
    digest = xxhash.xxh3_64(f'{target}\n{key}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class _Crash:
    fingerprint: str
    engine: str
    at: float


class Verdict(enum.Enum):
    """What a crash under a request, or its success, was taken for."""

    COUNTED = 'crash counted'
    SET_ASIDE = 'crash set aside'
    BLOCKED = 'request blocked'
    CLEARED = 'request cleared'


@attrs.frozen
class CrashVerdict:
    """A decision about a request that engines may crash on.

    :param engine: the engine that crashed, if the decision is about one.
    :param crashes: engines counted so far for this request.
    :param nearby_losses: engines of the data centre lost at the same time.
    :param reported: the crash was reported by another entry.
    :param blocked_s: seconds for which the request stays blocked.
    """

    verdict: Verdict
    fingerprint: str
    engine: str = ''
    crashes: int = 0
    nearby_losses: int = 0
    reported: bool = False
    blocked_s: float = 0.0


def _ignore(subject: t.Any) -> None:
    """Ignore a verdict or a block; used until a listener is set."""


class PoisonRequestDetector:
    """Counts engine crashes by request, with reports of other entries.

    :param count_losses_near: returns the number of engines lost in an
        engine's data centre within some seconds of a time, itself included.
    :ivar on_verdict: called with each decision.
    :ivar on_block: called with the fingerprint of a request that is blocked.
    """

    def __init__(
        self, count_losses_near: cabc.Callable[[str, float, float], int]
    ) -> None:
        self.count_losses_near = count_losses_near
        self.on_verdict: cabc.Callable[[CrashVerdict], None] = _ignore
        self.on_block: cabc.Callable[[str], None] = _ignore
        self.unconfirmed: list[_Crash] = []
        self.pending_reports: list[messages.CrashReport] = []
        self.crashes: dict[str, dict[str, float]] = {}

    def record_crash(self, fingerprint: str, engine: str, now: float) -> None:
        """Record that an engine crashed while running a request."""
        self.unconfirmed.append(_Crash(fingerprint, engine, now))

    def confirm_crashes(self, now: float) -> None:
        """Count the crashes that proved isolated after the window."""
        due = [
            crash
            for crash in self.unconfirmed
            if now - crash.at >= CORRELATED_WINDOW_S
        ]
        self.unconfirmed = [
            crash
            for crash in self.unconfirmed
            if now - crash.at < CORRELATED_WINDOW_S
        ]
        for crash in due:
            nearby_losses = self.count_losses_near(
                crash.engine, crash.at, CORRELATED_WINDOW_S
            )
            if nearby_losses < MIN_CORRELATED_LOSSES:
                self._count(crash.fingerprint, crash.engine, now)
                self.pending_reports.append(
                    messages.CrashReport(crash.fingerprint, crash.engine)
                )
            else:
                self.on_verdict(
                    CrashVerdict(
                        Verdict.SET_ASIDE,
                        crash.fingerprint,
                        crash.engine,
                        nearby_losses=nearby_losses,
                    )
                )

    def take_pending(self) -> list[messages.CrashReport]:
        """Return the crash reports for other entries and clear the list."""
        pending_reports, self.pending_reports = self.pending_reports, []
        return pending_reports

    def requeue_events(self, reports: list[messages.CrashReport]) -> None:
        """Queue reports that may not have been delivered."""
        self.pending_reports = reports + self.pending_reports

    def add_reports(
        self, reports: cabc.Iterable[messages.CrashReport], now: float
    ) -> None:
        """Count the crashes that other entries report."""
        for report in reports:
            self._count(report.fingerprint, report.engine, now, reported=True)

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a request that completed."""
        crashes = self.crashes.pop(fingerprint, None)
        if crashes is not None:
            self.on_verdict(
                CrashVerdict(
                    Verdict.CLEARED, fingerprint, crashes=len(crashes)
                )
            )

    def remaining_block_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request stays blocked, or 0."""
        crashes = self.crashes.get(fingerprint)
        if crashes is None:
            return 0.0
        recent = [at for at in crashes.values() if now - at < CRASH_TTL_S]
        if not recent:
            del self.crashes[fingerprint]
        if len(recent) < MAX_CRASHES:
            return 0.0
        return max(recent) + CRASH_TTL_S - now

    def _count(
        self,
        fingerprint: str,
        engine: str,
        now: float,
        *,
        reported: bool = False,
    ) -> None:
        crashes = self.crashes.setdefault(fingerprint, {})
        is_new = engine not in crashes
        crashes[engine] = now
        while len(self.crashes) > MAX_FINGERPRINTS:
            del self.crashes[next(iter(self.crashes))]
        if not is_new:
            return
        blocked_s = self.remaining_block_s(fingerprint, now)
        verdict = CrashVerdict(
            Verdict.COUNTED,
            fingerprint,
            engine,
            len(crashes),
            reported=reported,
            blocked_s=blocked_s,
        )
        self.on_verdict(verdict)
        if blocked_s and len(crashes) == MAX_CRASHES:
            self.on_verdict(attrs.evolve(verdict, verdict=Verdict.BLOCKED))
            self.on_block(fingerprint)
