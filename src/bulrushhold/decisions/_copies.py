"""What an entry keeps for others: pointers and transcript copies."""

import typing as t

import attrs

from bulrushhold import messages

MAX_COPY_ADDRESSES: t.Final = 6


@attrs.define
class Pointer:
    """Who serves a key, as one of its pointer homes knows it.

    :param since: epoch that began the newest text.
    :param sure: the home had run long enough to know an earlier use of
        the key, or saw the text begin.
    """

    epoch: int
    fingerprint: str
    copies: list[str]
    since: int
    authoritative: bool
    used_at: float


@attrs.define
class TranscriptCopy:
    """A transcript kept for another entry.

    :param fence: least epoch that may write.
    :param written: epoch that wrote the tokens.
    """

    fence: int
    writer_epoch: int
    tokens: list[str]
    version: str
    finish: str
    used_at: float


class CopyStore:
    """Pointers and copies, dropped ``keep_s`` after their last use.

    :param now: monotonic seconds.
    """

    def __init__(self, keep_s: float, now: float) -> None:
        self.keep_s = keep_s
        self.authoritative_from = now + keep_s
        self.pointers: dict[str, Pointer] = {}
        self.copies: dict[str, TranscriptCopy] = {}

    def homes_changed(self, now: float) -> None:
        """Learn that keys may have come here from other homes.

        Until every one of them has been refreshed or forgotten, not to
        know a key says nothing about it.
        """
        self.authoritative_from = now + self.keep_s

    def take_pointer(
        self, take: messages.PointerTake, now: float
    ) -> messages.PointerState:
        """Register the asking entry, unless a higher epoch is known."""
        pointer = self.pointers.get(take.key)
        if pointer is None:
            # A home that has just been started may have forgotten the key.
            authoritative = now >= self.authoritative_from
            self.pointers[take.key] = Pointer(
                take.epoch,
                take.fingerprint,
                take.copies,
                take.epoch if take.begins else take.since,
                authoritative or take.begins or take.since > 0,
                now,
            )
            return messages.PointerState(
                True, take.epoch, [], 0, authoritative
            )
        pointer.used_at = now
        former_copies = pointer.copies
        since = pointer.since
        mismatch = pointer.fingerprint != take.fingerprint
        if mismatch or take.epoch < pointer.epoch:
            return messages.PointerState(
                False,
                pointer.epoch,
                former_copies,
                since,
                pointer.authoritative,
                mismatch,
            )
        pointer.epoch = take.epoch
        authoritative = pointer.authoritative
        if take.since:
            pointer.authoritative = True
            pointer.since = max(pointer.since, take.since)
        if take.begins:
            pointer.authoritative = True
            pointer.since = take.epoch
            pointer.copies = take.copies
        else:
            # The former copies stay reachable until the new ones hold the
            # whole transcript: the new entry may die before that.
            merged = dict.fromkeys(take.copies + former_copies)
            pointer.copies = list(merged)[:MAX_COPY_ADDRESSES]
        return messages.PointerState(
            True, take.epoch, former_copies, since, authoritative
        )

    def append_all(
        self, batch: messages.CopyBatch, now: float
    ) -> messages.CopyBatchAck:
        """Take a batch, and name the appends that weren't stored."""
        rejected = []
        for number, append in enumerate(batch.appends):
            ok, length = self.append(append, now)
            if not ok or length != append.offset + len(append.tokens):
                rejected.append(messages.CopyAck(number, ok, length))
        return messages.CopyBatchAck(rejected)

    def append(
        self, append: messages.CopyAppend, now: float
    ) -> tuple[bool, int]:
        """Add tokens to a copy, or tell from where to send again.

        :returns: whether the sender isn't fenced, and the tokens held.
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
            # Tokens of a former entry: only a whole transcript replaces
            # them, else a gap could be filled with another text.
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

    def take(self, take: messages.CopyTake, now: float) -> messages.CopyState:
        """Hand a copy over and fence the entry that wrote it.

        The fence is kept also where there is no copy yet: an append of
        the former entry that is still under way must not create one.
        """
        copy = self.copies.get(take.key)
        if copy is None:
            copy = TranscriptCopy(0, 0, [], '', '', now)
            self.copies[take.key] = copy
        copy.used_at = now
        if take.epoch < copy.fence:
            return messages.CopyState(False, copy.fence)
        copy.fence = take.epoch
        return messages.CopyState(
            True,
            copy.fence,
            copy.writer_epoch,
            list(copy.tokens),
            copy.version,
            copy.finish,
        )

    def expire(self, now: float) -> None:
        """Drop what was not used for ``keep_s``."""
        oldest = now - self.keep_s
        for store in (self.pointers, self.copies):
            old = [k for k, item in store.items() if item.used_at < oldest]
            for key in old:
                del store[key]
