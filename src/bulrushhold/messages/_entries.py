"""Messages among entries: pointers, copies, quotas, membership."""

import attrs


@attrs.frozen
class PointerTake:
    """Registers who serves a key, at the key's pointer homes.

    :param epoch: of the entry that asks; the highest wins.
    :param copies: addresses that will hold this entry's transcript.
    :param begins: the entry begins a new text; copies written before
        this epoch are of a former one.
    :param since: the epoch that began the text, where the entry that
        serves it refreshes the pointer; else 0.
    """

    key: str
    epoch: int
    fingerprint: str
    copies: list[str]
    begins: bool = False
    since: int = 0


@attrs.frozen
class PointerState:
    """Answers :class:`PointerTake`.

    :param epoch: the epoch now in force at this home.
    :param former: addresses with the former entry's transcript.
    :param since: the epoch that began the newest text, 0 for none.
    :param sure: the home knows the key, or has run for long enough to
        know every key in use.
    """

    granted: bool
    epoch: int
    former: list[str]
    since: int = 0
    sure: bool = True
    mismatch: bool = False


@attrs.frozen
class CopyAppend:
    """Tokens for the copy of one transcript.

    :param epoch: of the entry that serves the request; higher wins.
    :param offset: position of the first of ``tokens``.
    :param version: of the model that produced them.
    :param finish: why the generation ended, with its last append.
    """

    key: str
    epoch: int
    offset: int
    tokens: list[str]
    version: str
    finish: str = ''


@attrs.frozen
class CopyBatch:
    """All appends of one entry for one peer since the last batch."""

    appends: list[CopyAppend]


@attrs.frozen
class CopyAck:
    """What became of one append that wasn't simply stored.

    :param number: position of the append in its batch.
    :param ok: ``False`` where a higher epoch fences the sender.
    :param length: tokens that the copy now holds.
    """

    number: int
    ok: bool
    length: int


@attrs.frozen
class CopyBatchAck:
    """Answers :class:`CopyBatch`; appends it doesn't name were stored."""

    exceptions: list[CopyAck]


@attrs.frozen
class CopyTake:
    """Asks for a key's copy and fences the entry that wrote it."""

    key: str
    epoch: int


@attrs.frozen
class CopyState:
    """Answers :class:`CopyTake` with what the peer holds.

    :param written: epoch of the entry that wrote the tokens, 0 for none.
    """

    granted: bool
    epoch: int
    written: int = 0
    tokens: list[str] = attrs.field(factory=list)
    version: str = ''
    finish: str = ''


@attrs.frozen
class QuotaAsk:
    """Asks a row's home for a lease on its limits.

    :param row: key of the row.
    :param holder: the asking entry.
    :param want: the asker's claim to a part, relative to others'.
    :param need: requests at once that it could use now.
    :param running: those that run beyond the floor.
    :param entries: entries that the asker counts, for the floor.
    """

    row: str
    holder: str
    want: float
    need: int
    running: int
    entries: int


@attrs.frozen
class QuotaGrant:
    """A lease: tokens a second and requests at once, for some seconds."""

    rate: float
    slots: int
    lease_s: float


@attrs.frozen
class MemberNews:
    """What is said of one entry.

    :param incarnation: the entry's own number; only it may raise it.
    :param status: a value of the membership's ``Status``.
    """

    name: str
    incarnation: int
    status: str


@attrs.frozen
class Probe:
    """Asks an entry for a sign of life, and tells it news."""

    news: list[MemberNews]


@attrs.frozen
class ProbeFor:
    """Asks an entry to probe another one, by its address."""

    target: str
    news: list[MemberNews]


@attrs.frozen
class ProbeReply:
    """Answers :class:`Probe` and :class:`ProbeFor`."""

    answered: bool
    news: list[MemberNews]
