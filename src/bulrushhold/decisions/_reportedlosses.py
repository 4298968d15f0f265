"""Engines that this entry knows to be lost from other entries only."""

import collections.abc as cabc
import typing as t

import xxhash

# Each engine is probed by so few entries, as the load of probes would
# otherwise grow with their number. One of them may have ended itself.
PROBERS: t.Final = 3


class ReportedLosses:
    """Losses that others have reported, and engines that answer again.

    Whoever finds that such an engine answers reports this, so that nobody
    else has to try it. A loss that this entry has met itself isn't one of
    them: others may reach an engine that it doesn't.

    :ivar entries: names of the entries that probe engines, in an order in
        which those of one data centre are neighbours; the same at all
        entries. While it is empty, each entry probes all.
    :ivar lost_at: when each loss was reported, by ident.
    :ivar pending_answers: engines that answer again, until this is reported.
    """

    def __init__(self) -> None:
        self.entries: cabc.Sequence[str] = ()
        self.lost_at: dict[str, float] = {}
        self.pending_answers: list[str] = []

    def record(self, ident: str, now: float) -> None:
        """Record a loss that another entry has reported."""
        self.lost_at[ident] = now

    def record_own(self, ident: str) -> None:
        """Record that this entry has lost an engine itself."""
        self.discard(ident)
        if ident in self.pending_answers:
            self.pending_answers.remove(ident)

    def discard(self, ident: str) -> None:
        """Forget a loss."""
        self.lost_at.pop(ident, None)

    def retain(self, idents: cabc.Container[str]) -> None:
        """Forget all engines but these."""
        self.lost_at = {
            ident: at for ident, at in self.lost_at.items() if ident in idents
        }

    def publish_answer(self, ident: str) -> None:
        """Report that an engine answers with the next load report."""
        if ident not in self.pending_answers:
            self.pending_answers.append(ident)

    def take_answers(self) -> list[str]:
        """Return the engines to be reported, and clear them."""
        answers, self.pending_answers = self.pending_answers, []
        return answers

    def to_probe(self, entry: str, since: float) -> list[str]:
        """Return the engines that an entry has to probe.

        :param since: losses before this time no longer matter.
        """
        self.lost_at = {
            ident: at for ident, at in self.lost_at.items() if at >= since
        }
        return [i for i in self.lost_at if self._is_prober(entry, i)]

    def _is_prober(self, entry: str, ident: str) -> bool:
        if not self.entries:
            return True
        count = len(self.entries)
        first = xxhash.xxh3_64_intdigest(ident.encode())
        probers = {
            self.entries[(first + number * count // PROBERS) % count]
            for number in range(PROBERS)
        }
        return entry in probers
