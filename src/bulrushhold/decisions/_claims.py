"""Claims: at most one run of each non-idempotent call.

A claim is in the replicated log before the call's first byte leaves.
Only the holder that the claim was granted to may run it, once; everyone
else gets the outcome, or hears that it is unknown.
"""

import attrs

from bulrushhold import messages

OPEN = 'open'
DONE = 'done'
CLOSED = 'closed'
EXPIRED = 'expired'
MISMATCH = 'mismatch'


@attrs.define
class ClaimRecord:
    """One claim as the log has it."""

    holder: str
    key_time: float
    fingerprint: str
    state: str = OPEN
    ran: str = 'unknown'
    status: int = 0
    body: bytes = b''


@attrs.define
class ClaimState:
    """All claims that are not yet forgotten.

    :param watermark: keys older than this, in seconds since the epoch,
        are refused. Claims older than it may be forgotten: a resend that
        comes later carries the same old key and can't run.
    """

    records: dict[str, ClaimRecord] = attrs.field(factory=dict)
    watermark: float = 0.0

    def claim(self, claim: messages.Claim) -> messages.ClaimOutcome:
        """Grant the claim, or tell what became of the first one."""
        record = self.records.get(claim.key)
        if record is None:
            if claim.key_time < self.watermark:
                return messages.ClaimOutcome(False, EXPIRED)
            self.records[claim.key] = ClaimRecord(
                claim.holder, claim.key_time, claim.fingerprint
            )
            return messages.ClaimOutcome(True, OPEN)
        if record.fingerprint != claim.fingerprint:
            return messages.ClaimOutcome(False, MISMATCH)
        # A proposal whose answer was lost is sent again by its holder,
        # which has then not run the call yet.
        granted = record.state == OPEN and record.holder == claim.holder
        return _outcome(record, granted=granted)

    def end(self, end: messages.ClaimEnd) -> messages.ClaimOutcome:
        """Record how a claim ended; the first end counts."""
        record = self.records.get(end.key)
        if record is None:
            return messages.ClaimOutcome(False, EXPIRED)
        if record.state == OPEN and record.holder == end.holder:
            record.ran = end.ran
            record.state = CLOSED if end.ran == 'no' else DONE
            record.status = end.status
            record.body = end.body
        return _outcome(record, granted=False)

    def forget(self, before: float) -> int:
        """Move the watermark, forward only; return claims dropped."""
        self.watermark = max(self.watermark, before)
        expired = [
            key
            for key, record in self.records.items()
            if record.key_time < self.watermark
        ]
        for key in expired:
            del self.records[key]
        return len(expired)


def _outcome(record: ClaimRecord, *, granted: bool) -> messages.ClaimOutcome:
    return messages.ClaimOutcome(
        granted, record.state, record.ran, record.status, record.body
    )
