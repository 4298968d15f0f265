"""Messages between entries: key pointers, transcripts, quotas, membership."""

import attrs


@attrs.frozen
class PointerTake:
    """Registers the entry that serves a key at the key's pointer homes.

    :param epoch: epoch of the sender; the highest one wins.
    :param copies: addresses that will hold copies of the transcript.
    :param begins: whether a new generated text starts with this epoch, which
        invalidates copies of earlier epochs.
    :param since: the epoch in which the generated text started, if the
        serving entry refreshes its pointer, else 0.
    """

    key: str
    epoch: int
    fingerprint: str
    copies: list[str]
    begins: bool = False
    since: int = 0


@attrs.frozen
class PointerState:
    """Reply to :class:`PointerTake`.

    :param epoch: the current epoch at this home.
    :param former: addresses that hold the previous entry's transcript.
    :param since: the epoch in which the newest generated text started, or 0.
    :param sure: whether the reply is authoritative: the home holds the key,
        or has been up for long enough to hold every key in use.
    :param mismatch: whether the key is in use with another fingerprint.
    """

    granted: bool
    epoch: int
    former: list[str]
    since: int = 0
    sure: bool = True
    mismatch: bool = False


@attrs.frozen
class CopyAppend:
    """Tokens to append to the copy of a transcript.

    :param epoch: epoch of the sender; the highest one wins.
    :param offset: position of the first token.
    :param version: version of the model that generated the tokens.
    :param finish: in the last append, why the generation finished.
    """

    key: str
    epoch: int
    offset: int
    tokens: list[str]
    version: str
    finish: str = ''


@attrs.frozen
class CopyBatch:
    """All appends from an entry to one peer since the last batch."""

    appends: list[CopyAppend]


@attrs.frozen
class CopyAck:
    """Result of an append that was not stored as sent.

    :param number: position of the append in its batch.
    :param ok: ``False`` if a higher epoch fences the sender.
    :param length: number of tokens that the copy holds.
    """

    number: int
    ok: bool
    length: int


@attrs.frozen
class CopyBatchAck:
    """Reply to :class:`CopyBatch`; appends not listed were stored."""

    exceptions: list[CopyAck]


@attrs.frozen
class CopyTake:
    """Reads the copy of a key and fences the entry that wrote it."""

    key: str
    epoch: int


@attrs.frozen
class CopyState:
    """Reply to :class:`CopyTake` with the peer's copy.

    :param written: epoch of the entry that wrote the tokens, or 0.
    """

    granted: bool
    epoch: int
    written: int = 0
    tokens: list[str] = attrs.field(factory=list)
    version: str = ''
    finish: str = ''


@attrs.frozen
class QuotaAsk:
    """Requests a lease on a share of a row's limits from the row's home.

    :param row: key of the row.
    :param holder: the requesting entry.
    :param want: weight of the requested share, relative to other entries.
    :param need: concurrent requests that the entry could use now.
    :param running: running requests above the guaranteed minimum.
    :param entries: number of entries that the sender counts, which sets the
        guaranteed minimum.
    """

    row: str
    holder: str
    want: float
    need: int
    running: int
    entries: int


@attrs.frozen
class QuotaGrant:
    """A lease on a token rate per second and on concurrent requests."""

    rate: float
    slots: int
    lease_s: float


@attrs.frozen
class MemberNews:
    """A gossip update about one entry.

    :param incarnation: incarnation number; only the entry itself raises it.
    :param status: a value of the SWIM membership's ``Status``.
    """

    name: str
    incarnation: int
    status: str


@attrs.frozen
class Probe:
    """A liveness probe, with gossip updates."""

    news: list[MemberNews]


@attrs.frozen
class ProbeFor:
    """Asks an entry to probe another one at the address ``target``."""

    target: str
    news: list[MemberNews]


@attrs.frozen
class ProbeReply:
    """Reply to :class:`Probe` and :class:`ProbeFor`."""

    answered: bool
    news: list[MemberNews]
