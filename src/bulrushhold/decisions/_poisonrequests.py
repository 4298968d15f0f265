"""Detect poison requests: opaque requests that crash engines.

A poison request is retried, by its caller or by the entry, and each time
crashes an engine with all its streams. Other requests lose engines as well:
in correlated failures such as a power loss, and when they share an engine
with a poison request. So several crashes are required to block a request, and
only those that nothing else explains count.
"""

import collections.abc as cabc
import enum
import random
import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _enginelosses
from bulrushhold.decisions import _requestblocks
from bulrushhold import messages

# Crashes after which a request is blocked. A harmless request that shared an
# engine with a poison one is retried on another engine, so that this number of
# coincidences is rare.
MAX_CRASHES: t.Final = 3
# So many losses of one data centre within the window of correlated losses
# count only if poison requests account for all of them.
MIN_CORRELATED_LOSSES: t.Final = 3
# A request that ran on so many of the engines lost together accounts for them.
MIN_EXPLAINED_LOSSES: t.Final = 2
# Time after which a crash is forgotten: the engine may have been redeployed.
CRASH_TTL_S: t.Final = 60.0
MAX_FINGERPRINTS: t.Final = 10_000
# By then the platform's list has another instance at the address of an engine
# that has crashed and is back.
RESET_TTL_S: t.Final = 5.0
MAX_RESETS: t.Final = 1_000


def fingerprint(target: str, key: str, body: bytes) -> str:
    """Return a hash that is the same for all retries of a request.

    :param key: key of the client account.
    """
    digest = xxhash.xxh3_64(f'{target}\n{key}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


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
    :param engines: all engines that crashed under a request that is blocked.
    :param blocked_s: seconds for which the request stays blocked.
    """

    verdict: Verdict
    fingerprint: str
    engine: str = ''
    crashes: int = 0
    nearby_losses: int = 0
    reported: bool = False
    engines: tuple[str, ...] = ()
    blocked_s: float = 0.0


def _ignore(*subject: t.Any) -> None:
    """Ignore a verdict or a block; used until a listener is set."""


@attrs.frozen
class _Crash:
    """A crash of an engine under a request.

    :param sent_at: when the request was sent to the engine.
    """

    engine: str
    at: float
    sent_at: float


@attrs.frozen
class _Reset:
    """A request that an engine broke off.

    :param run_s: time since it was sent.
    :param silent: the engine closed no connection, but stopped answering.
    """

    fingerprint: str
    at: float
    run_s: float
    silent: bool = False


class PoisonRequestDetector:
    """Counts engine crashes by request, with reports of other entries.

    :param losses: the latest losses of all engines.
    :ivar on_verdict: called with each decision.
    :ivar on_block: called with the fingerprint of a request that is blocked.
    :ivar on_pending: called when there is something to report.
    :ivar deferred: crashes that are reported only if another entry reports
        the same request: the losses of a whole data centre would be too many.
    """

    def __init__(
        self,
        losses: _enginelosses.EngineLosses,
        rng: random.Random | None = None,
    ) -> None:
        self.losses = losses
        self.on_verdict: cabc.Callable[[CrashVerdict], None] = _ignore
        self.on_block: cabc.Callable[[str], None] = _ignore
        self.on_pending: cabc.Callable[[], None] = _ignore
        self.pending_reports: list[messages.CrashReport] = []
        self.deferred: dict[str, list[messages.CrashReport]] = {}
        self.crashes: dict[str, dict[str, _Crash]] = {}
        self.resets: dict[str, list[_Reset]] = {}
        self.blocks = _requestblocks.RequestBlocks(rng or random.Random())
        self.pending_blocks: set[str] = set()

    # Crashes

    def record_crash(
        self, fingerprint: str, engine: str, now: float, run_s: float = 0.0
    ) -> None:
        """Record that an engine crashed while running a request.

        :param run_s: time since the request was sent to it.
        """
        self._expire(fingerprint, now)
        if engine in self.crashes.get(fingerprint, ()):
            return
        report = messages.CrashReport(fingerprint, engine, run_s)
        is_first = fingerprint not in self.crashes
        self._add(report, now)
        nearby = len(self.losses.near(engine, now))
        if is_first and nearby >= MIN_CORRELATED_LOSSES:
            self.deferred.setdefault(fingerprint, []).append(report)
        else:
            self.pending_reports += [
                *self.deferred.pop(fingerprint, ()),
                report,
            ]
            self.on_pending()

    def record_reset(
        self,
        fingerprint: str,
        engine: str,
        now: float,
        run_s: float = 0.0,
        *,
        silent: bool = False,
    ) -> None:
        """Record that an engine broke a request off and may have crashed.

        It counts as a crash if the engine proves to have ended.

        :param silent: it closed no connection, but stopped answering.
        """
        reset = _Reset(fingerprint, now, run_s, silent)
        self.resets.setdefault(engine, []).append(reset)
        while len(self.resets) > MAX_RESETS:
            del self.resets[next(iter(self.resets))]

    def was_reset(self, engine: str, now: float) -> bool:
        """Whether an engine broke off a request shortly before."""
        resets = self.resets.get(engine, ())
        return any(now - reset.at < RESET_TTL_S for reset in resets)

    def silent_under(
        self, fingerprint: str, silent: cabc.Iterable[str]
    ) -> int:
        """Return how many engines fell silent while they had a request.

        :param silent: idents of the engines that are silent now.
        """
        return sum(
            any(
                reset.silent and reset.fingerprint == fingerprint
                for reset in self.resets.get(engine, ())
            )
            for engine in silent
        )

    def clear_silences(self, engine: str) -> None:
        """Forget the silence of an engine that answers again."""
        resets = [r for r in self.resets.pop(engine, ()) if not r.silent]
        if resets:
            self.resets[engine] = resets

    def record_replaced(self, engine: str, now: float) -> None:
        """Count the requests that a replaced engine broke off."""
        for reset in self.resets.pop(engine, ()):
            if now - reset.at < RESET_TTL_S:
                self.record_crash(reset.fingerprint, engine, now, reset.run_s)

    def add_reports(
        self, reports: cabc.Iterable[messages.CrashReport], now: float
    ) -> None:
        """Count the crashes that other entries report."""
        for report in reports:
            self._add(report, now, reported=True)
            deferred = self.deferred.pop(report.fingerprint, None)
            if deferred:
                self.pending_reports += deferred
                self.on_pending()

    def take_pending(self) -> list[messages.CrashReport]:
        """Return the crash reports for other entries and clear the list."""
        pending_reports, self.pending_reports = self.pending_reports, []
        return pending_reports

    def requeue_events(self, report: messages.LoadReport) -> None:
        """Queue the events of a report that may not have been delivered."""
        self.pending_reports = report.crashes + self.pending_reports
        self.pending_blocks.update(b.fingerprint for b in report.blocks)

    def record_success(self, fingerprint: str, now: float) -> None:
        """Clear the crashes of a request that completed.

        Not while it is blocked: one engine that bears it doesn't make up for
        those that crashed.
        """
        if self.blocks.remaining_s(fingerprint, now):
            return
        crashes = self.crashes.pop(fingerprint, None)
        self.deferred.pop(fingerprint, None)
        was_blocked = self.blocks.remove(fingerprint)
        if crashes or was_blocked:
            verdict = CrashVerdict(
                Verdict.CLEARED, fingerprint, crashes=len(crashes or ())
            )
            self.on_verdict(verdict)

    # Blocks

    def remaining_block_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request stays blocked, or 0."""
        remaining_s = self.blocks.remaining_s(fingerprint, now)
        if remaining_s or fingerprint not in self.crashes:
            return remaining_s
        # With time, crashes may turn out not to be the loss of a data centre.
        self._update_block(fingerprint, now)
        return self.blocks.remaining_s(fingerprint, now)

    def is_on_probation(self, fingerprint: str, now: float) -> bool:
        """Whether a request was blocked and hasn't proved harmless since."""
        return self.blocks.last(fingerprint, now) is not None

    def add_blocks(
        self, blocks: cabc.Iterable[messages.RequestBlock], now: float
    ) -> None:
        """Apply the blocks that other entries report."""
        for block in blocks:
            if self.blocks.apply(block, now):
                self._announce(block.fingerprint, now, reported=True)

    def take_pending_blocks(self, now: float) -> list[messages.RequestBlock]:
        """Return the blocks to report to other entries and clear the list."""
        fingerprints, self.pending_blocks = self.pending_blocks, set()
        blocks = [self.blocks.describe(f, now) for f in sorted(fingerprints)]
        return [block for block in blocks if block is not None]

    def report_all_blocks(self) -> None:
        """Report all blocks again, to a process that may not know them."""
        self.pending_blocks.update(self.blocks.blocks)

    def _add(
        self,
        report: messages.CrashReport,
        now: float,
        *,
        reported: bool = False,
    ) -> None:
        self._expire(report.fingerprint, now)
        crashes = self.crashes.setdefault(report.fingerprint, {})
        if report.engine in crashes:
            return
        at = now - report.age_s
        self.losses.record_crash(report.engine, at)
        crashes[report.engine] = _Crash(report.engine, at, at - report.run_s)
        while len(self.crashes) > MAX_FINGERPRINTS:
            oldest = next(iter(self.crashes))
            del self.crashes[oldest]
            self.deferred.pop(oldest, None)
        # The entry that saw a crash has logged it.
        if not reported or len(crashes) > 1:
            self._log_crash(report, at, now, reported=reported)
        self._update_blocks(now)

    def _expire(self, fingerprint: str, now: float) -> None:
        crashes = self.crashes.get(fingerprint, {})
        for engine, crash in list(crashes.items()):
            if now - crash.at >= CRASH_TTL_S:
                del crashes[engine]

    def _log_crash(
        self,
        report: messages.CrashReport,
        at: float,
        now: float,
        *,
        reported: bool,
    ) -> None:
        counted = self._count(report.fingerprint, now)
        verdict = CrashVerdict(
            Verdict.COUNTED if report.engine in counted else Verdict.SET_ASIDE,
            report.fingerprint,
            report.engine,
            len(counted),
            len(self.losses.near(report.engine, at)),
            reported,
        )
        self.on_verdict(verdict)

    def _update_blocks(self, now: float) -> None:
        for fingerprint in self.crashes:
            self._update_block(fingerprint, now)

    def _update_block(self, fingerprint: str, now: float) -> None:
        crashes = self.crashes.get(fingerprint, {})
        last = self.blocks.last(fingerprint, now)
        enough = MAX_CRASHES if last is None else 1
        if len(crashes) < enough:
            return
        self._expire(fingerprint, now)
        counted = self._count(fingerprint, now)
        if last is not None:
            # Earlier crashes are those that it was for.
            counted = {e for e in counted if crashes[e].at > last.opens_at}
        if len(counted) < enough:
            return
        since = max(crashes[engine].at for engine in counted)
        if self.blocks.add(fingerprint, since, now):
            self._announce(fingerprint, now, counted)

    def _announce(
        self,
        fingerprint: str,
        now: float,
        engines: t.Collection[str] = (),
        *,
        reported: bool = False,
    ) -> None:
        self.on_verdict(
            CrashVerdict(
                Verdict.BLOCKED,
                fingerprint,
                crashes=len(engines),
                engines=tuple(sorted(engines)),
                reported=reported,
                blocked_s=self.blocks.remaining_s(fingerprint, now),
            )
        )
        self.on_block(fingerprint)
        if not reported:
            self.pending_blocks.add(fingerprint)
            self.on_pending()

    # Correlated losses

    def _count(self, fingerprint: str, now: float) -> set[str]:
        """Return the engines whose crashes count for a request."""
        counted = set()
        counted_together: set[str] = set()
        crashes = self.crashes[fingerprint]
        for crash in sorted(crashes.values(), key=lambda c: c.at):
            nearby = self.losses.near(crash.engine, crash.at)
            together = {loss.engine for loss in nearby}
            if len(together) < MIN_CORRELATED_LOSSES:
                counted.add(crash.engine)
                continue
            if not self._are_explained(together):
                continue
            # Several runs end at once if their data centre fails. One that
            # was sent later ends by itself.
            is_later = crash.sent_at > min(loss.at for loss in nearby)
            if (
                is_later
                or not together & counted_together
                or self.losses.has_survivors(nearby, now)
            ):
                counted.add(crash.engine)
                counted_together |= together
        return counted

    def _are_explained(self, engines: set[str]) -> bool:
        """Whether few requests account for all engines lost together."""
        unexplained = set(engines)
        for crashes in self.crashes.values():
            shared = crashes.keys() & engines
            if len(shared) >= MIN_EXPLAINED_LOSSES:
                unexplained -= shared
        return not unexplained
