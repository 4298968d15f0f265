"""Pointers and transcript copies that an entry stores for other entries."""

import typing as t

import attrs

from bulrushhold import messages

MAX_COPY_ADDRESSES: t.Final = 6


@attrs.define
class Pointer:
    """Pointer from a key to the entry that serves it.

    :param copies: addresses that may hold a copy of the transcript.
    :param since: epoch in which the current text was started.
    :param authoritative: this home can't have missed an earlier use of the
        key: it had run for long enough, or knows when the text was started.
    """

    epoch: int
    fingerprint: str
    copies: list[str]
    since: int
    authoritative: bool
    used_at: float


@attrs.define
class TranscriptCopy:
    """A transcript stored for another entry.

    :param fence: lowest epoch that may write; the fencing token.
    :param writer_epoch: epoch that wrote the tokens.
    """

    fence: int
    writer_epoch: int
    tokens: list[str]
    version: str
    finish: str
    used_at: float


class CopyStore:
    """Store of pointers and copies, which expire ``keep_s`` after use.

    :param now: monotonic seconds.
    """

    def __init__(self, keep_s: float, now: float) -> None:
        self.keep_s = keep_s
        self.authoritative_from = now + keep_s
        self.pointers: dict[str, Pointer] = {}
        self.copies: dict[str, TranscriptCopy] = {}

    def homes_changed(self, now: float) -> None:
        """Record that this entry may now be the home of other keys.

        Until their pointers have been refreshed or have expired, a missing
        pointer doesn't prove that the key was never used.
        """
        self.authoritative_from = now + self.keep_s

    def take_pointer(
        self, request: messages.PointerTake, now: float
    ) -> messages.PointerState:
        """Register the requesting entry unless its epoch is outdated."""
        pointer = self.pointers.get(request.key)
        if pointer is None:
            # A home that has just started may lack existing pointers.
            authoritative = now >= self.authoritative_from
            self.pointers[request.key] = Pointer(
                request.epoch,
                request.fingerprint,
                request.copies,
                request.epoch if request.begins else request.since,
                authoritative or request.begins or request.since > 0,
                now,
            )
            return messages.PointerState(
                True, request.epoch, [], 0, authoritative
            )
        pointer.used_at = now
        former_copies = pointer.copies
        since = pointer.since
        mismatch = pointer.fingerprint != request.fingerprint
        if mismatch or request.epoch < pointer.epoch:
            return messages.PointerState(
                False,
                pointer.epoch,
                former_copies,
                since,
                pointer.authoritative,
                mismatch,
            )
        pointer.epoch = request.epoch
        authoritative = pointer.authoritative
        if request.since:
            pointer.authoritative = True
            pointer.since = max(pointer.since, request.since)
        if request.begins:
            pointer.authoritative = True
            pointer.since = request.epoch
            pointer.copies = request.copies
        else:
            # The former copies stay listed until the new ones are complete, in
            # case the new entry fails before that.
            merged = dict.fromkeys(request.copies + former_copies)
            pointer.copies = list(merged)[:MAX_COPY_ADDRESSES]
        return messages.PointerState(
            True, request.epoch, former_copies, since, authoritative
        )

    def append_all(
        self, batch: messages.CopyBatch, now: float
    ) -> messages.CopyBatchAck:
        """Apply a batch and return the appends that weren't stored."""
        rejected = []
        for number, append in enumerate(batch.appends):
            allowed, length = self.append(append, now)
            if not allowed or length != append.offset + len(append.tokens):
                rejected.append(messages.CopyAck(number, allowed, length))
        return messages.CopyBatchAck(rejected)

    def append(
        self, append: messages.CopyAppend, now: float
    ) -> tuple[bool, int]:
        """Append tokens to a copy.

        :returns: whether the writer's epoch is still allowed, and the number
            of tokens stored; the writer resends from there.
        """
        copy = self.copies.get(append.key)
        if copy is None:
            copy = TranscriptCopy(append.epoch, 0, [], '', '', now)
            self.copies[append.key] = copy
        if append.epoch < copy.fence:
            return False, len(copy.tokens)
        copy.fence = append.epoch
        copy.used_at = now
        if copy.writer_epoch != append.epoch:
            # Tokens of a former epoch are only replaced as a whole, so that
            # two different texts are never mixed.
            if append.offset != 0:
                return True, 0
            copy.tokens = []
            copy.writer_epoch = append.epoch
        if append.offset > len(copy.tokens):
            return True, len(copy.tokens)
        copy.tokens[append.offset :] = append.tokens
        copy.version = append.version
        copy.finish = append.finish
        return True, len(copy.tokens)

    def take_copy(
        self, request: messages.CopyTake, now: float
    ) -> messages.CopyState:
        """Return a copy and fence the entry that wrote it.

        A missing copy is created empty to hold the fence: a late append of
        the former entry must not create one.
        """
        copy = self.copies.get(request.key)
        if copy is None:
            copy = TranscriptCopy(0, 0, [], '', '', now)
            self.copies[request.key] = copy
        copy.used_at = now
        if request.epoch < copy.fence:
            return messages.CopyState(False, copy.fence)
        copy.fence = request.epoch
        return messages.CopyState(
            True,
            copy.fence,
            copy.writer_epoch,
            list(copy.tokens),
            copy.version,
            copy.finish,
        )

    def expire(self, now: float) -> None:
        """Remove pointers and copies unused for ``keep_s``."""
        oldest = now - self.keep_s
        for store in (self.pointers, self.copies):
            expired = [k for k, item in store.items() if item.used_at < oldest]
            for key in expired:
                del store[key]
