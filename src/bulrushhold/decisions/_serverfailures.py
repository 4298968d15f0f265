"""The share of requests that plain servers fail, by the attempts of all.

An entry of many sends too few requests to a server to know its share from
them. Entries report their attempts, and control sends each entry those of all
others, which are added to its own.
"""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold.decisions import _backendserver
from bulrushhold import messages

HALF_LIFE_S: t.Final = _backendserver.FAILURE_HALF_LIFE_S
# Weight of the assumption that a server fails nothing, in attempts. A server
# whose first attempt fails then has the same share as by the moving average
# of a single entry (``FAILURE_SMOOTHING``).
PRIOR_ATTEMPTS: t.Final = 4.0
# Sums with fewer attempts than this are dropped.
NEGLIGIBLE_ATTEMPTS: t.Final = 0.05
# Approximate sizes of the encoded field of a report that has samples, and of
# a sample, in bytes beside its ident.
FIELD_BYTES: t.Final = 12
SAMPLE_BYTES: t.Final = 32
# Bytes of samples that an entry sends per second, and may save up. At busy
# entries, a report of each attempt would exceed the budget of 3 KB/s.
MAX_BYTES_PER_S: t.Final = 200.0
MAX_CREDIT_BYTES: t.Final = 400.0
# Part of the saved bytes that is kept for servers with failures.
FAILURE_RESERVE: t.Final = 0.5


@attrs.frozen
class FailureSum:
    """Attempts at a server and their failures, with exponential decay.

    :param updated_at: time of the newest attempt, at which the counts hold.
    """

    attempts: float
    failures: float
    updated_at: float

    def plus(self, other: 'FailureSum') -> 'FailureSum':
        """Return the sum of both as of the newest attempt of either."""
        return self._combined(other, 1)

    def minus(self, part: 'FailureSum') -> 'FailureSum':
        """Return the sum without a part of it."""
        return self._combined(part, -1)

    def _combined(self, other: 'FailureSum', sign: int) -> 'FailureSum':
        at = max(self.updated_at, other.updated_at)
        share, other_share = self._remainder(at), other._remainder(at)
        attempts = self.attempts * share + sign * other.attempts * other_share
        failures = self.failures * share + sign * other.failures * other_share
        return FailureSum(max(0.0, attempts), max(0.0, failures), at)

    def _remainder(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return 0.5 ** (age_s / HALF_LIFE_S)

    def attempts_now(self, now: float) -> float:
        """Return the decayed number of attempts."""
        return self.attempts * self._remainder(now)

    def share(self, now: float) -> float:
        """Return the expected share of failures, between 0 and 1.

        It decays without new attempts; otherwise a server that is avoided
        could never recover.
        """
        share = self.failures / (self.attempts + PRIOR_ATTEMPTS)
        return share * self._remainder(now)

    def sample(self, now: float) -> messages.FailureSample:
        """Return the sum as sent to other processes."""
        return messages.FailureSample(
            round(self.attempts, 2),
            round(self.failures, 2),
            round(max(0.0, now - self.updated_at), 2),
        )


FailureSums = dict[str, FailureSum]


def received_sum(sample: messages.FailureSample, now: float) -> FailureSum:
    """Return the sum that another process has sent."""
    return FailureSum(sample.attempts, sample.failures, now - sample.age_s)


def add_to_sums(sums: FailureSums, ident: str, added: FailureSum) -> None:
    """Add attempts to a server's sum."""
    existing = sums.get(ident)
    sums[ident] = added if existing is None else existing.plus(added)


class ServerFailures:
    """The failures of plain servers as one entry knows them.

    :ivar own: attempts of this entry that control's counts don't include.
    :ivar others: attempts of all other entries, as sent by control.
    :ivar unreported: attempts since the last load report, by server.
    """

    def __init__(self) -> None:
        self.own: FailureSums = {}
        self.others: FailureSums = {}
        self.unreported: dict[str, messages.FailureSample] = {}
        self.credit_bytes = MAX_CREDIT_BYTES
        self.credited_at = 0.0

    def record(self, ident: str, now: float, *, failed: bool) -> None:
        """Record an attempt at a server."""
        add_to_sums(self.own, ident, FailureSum(1.0, float(failed), now))
        known = self.unreported.get(ident, messages.FailureSample(0, 0))
        self.unreported[ident] = messages.FailureSample(
            known.attempts + 1, known.failures + failed
        )

    def apply_others(
        self,
        samples: dict[str, messages.FailureSample],
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Apply the attempts of other entries that control sends.

        :param complete: they are those at all servers, from a process that
            may be another one than before, or have restarted. It may count
            what this entry has reported earlier as another entry's, so that
            only unreported attempts remain its own.
        """
        received = {
            ident: received_sum(sample, now)
            for ident, sample in samples.items()
        }
        if not complete:
            self.others.update(received)
            return
        self.others = received
        self.own = {
            ident: FailureSum(sample.attempts, sample.failures, now)
            for ident, sample in self.unreported.items()
        }

    def share(self, ident: str, now: float) -> float | None:
        """Return the share of failures that a server is expected to have.

        :return: ``None`` if other entries haven't used the server lately.
        """
        others = self.others.get(ident)
        if others is None:
            return None
        if others.attempts_now(now) < NEGLIGIBLE_ATTEMPTS:
            del self.others[ident]
            return None
        own = self.own.get(ident)
        return (others if own is None else others.plus(own)).share(now)

    def take_unreported(self, now: float) -> dict[str, messages.FailureSample]:
        """Return the samples for the next load report, and forget them.

        Those that exceed the budget wait for a later report, in which their
        sum takes no more room. Servers with failures go first.
        """
        elapsed_s = max(0.0, now - self.credited_at)
        self.credited_at = now
        self.credit_bytes = min(
            MAX_CREDIT_BYTES, self.credit_bytes + MAX_BYTES_PER_S * elapsed_s
        )
        taken = {}
        for ident, sample in sorted(
            self.unreported.items(), key=lambda item: not item[1].failures
        ):
            cost = SAMPLE_BYTES + len(ident) + (0 if taken else FIELD_BYTES)
            reserve = 0 if sample.failures else FAILURE_RESERVE
            if self.credit_bytes - cost < reserve * MAX_CREDIT_BYTES:
                break
            self.credit_bytes -= cost
            taken[ident] = self.unreported.pop(ident)
        return taken

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these."""
        self.own = {i: s for i, s in self.own.items() if i in idents}
        self.others = {i: s for i, s in self.others.items() if i in idents}
        self.unreported = {
            i: s for i, s in self.unreported.items() if i in idents
        }
