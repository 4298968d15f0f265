"""At-most-once execution of non-idempotent calls by replicated claims.

A claim is committed to the replicated log before the first byte of the
call is sent. Only the holder to which the claim was granted may execute
the call; every other holder gets the recorded outcome, or ``unknown``.
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
    """State of one claim.

    :param ran: whether the call was executed, ``unknown`` until it ends.
    """

    holder: str
    key_time: float
    fingerprint: str
    state: str = OPEN
    ran: str = 'unknown'
    status: int = 0
    body: bytes = b''


@attrs.define
class ClaimState:
    """All retained claims by idempotency key.

    :param watermark: seconds since the epoch. Claims with an older key
        time are discarded and new ones are refused, so that a late resend
        of a discarded claim can't execute again.
    """

    records: dict[str, ClaimRecord] = attrs.field(factory=dict)
    watermark: float = 0.0

    def claim(self, claim: messages.Claim) -> messages.ClaimOutcome:
        """Grant a new claim, or return the outcome of the existing one."""
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
        # A holder that resends its proposal after losing the reply hasn't
        # executed the call yet, so the claim is granted again.
        granted = record.state == OPEN and record.holder == claim.holder
        return _outcome(record, granted=granted)

    def end(self, end: messages.ClaimEnd) -> messages.ClaimOutcome:
        """Record the outcome of a claim; later outcomes are ignored."""
        record = self.records.get(end.key)
        if record is None:
            return messages.ClaimOutcome(False, EXPIRED)
        if record.state == OPEN and record.holder == end.holder:
            record.ran = end.ran
            record.state = CLOSED if end.ran == 'no' else DONE
            record.status = end.status
            record.body = end.body
        return _outcome(record, granted=False)

    def advance_watermark(self, before: float) -> int:
        """Advance the watermark; return how many claims were discarded."""
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
