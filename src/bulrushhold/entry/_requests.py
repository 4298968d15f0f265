"""Validation of callers' requests."""

import collections.abc as cabc
import typing as t
import uuid

import attrs
import msgspec

from bulrushhold import decisions
from bulrushhold.entry import _generation
from bulrushhold import errors
from bulrushhold import messages

ACCOUNT_HEADER: t.Final = 'Bulrushhold-Account'
WORK_HEADER: t.Final = 'Bulrushhold-Work'
KEY_HEADER: t.Final = 'Idempotency-Key'
RESUME_HEADER: t.Final = 'Last-Event-ID'
DEFAULT_WORK: t.Final = 'chat'
MAX_TOKENS: t.Final = 32_768
MAX_KEY_LENGTH: t.Final = 128
_VALIDATORS = attrs.validators


@attrs.frozen
class ChatBody:
    """The fields of a chat completion body that the system uses."""

    model: str = attrs.field(validator=_VALIDATORS.min_len(1))
    messages: list[dict[str, t.Any]] = attrs.field(
        validator=_VALIDATORS.min_len(1)
    )
    stream: bool = False
    max_tokens: int = attrs.field(
        default=1024,
        validator=_VALIDATORS.and_(
            _VALIDATORS.ge(1), _VALIDATORS.le(MAX_TOKENS)
        ),
    )


_BODIES = msgspec.json.Decoder(ChatBody)


def bad_request(reason: str, status: int = 400) -> errors.RequestError:
    """Return the error for an invalid request."""
    return errors.RequestError(reason, 'request', status=status)


def read_chat(body: bytes) -> ChatBody:
    """Decode and validate the body of a chat completion.

    :raises RequestError: with the invalid field and the reason.
    """
    try:
        return _BODIES.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise bad_request(' '.join(str(error).split())) from error


def find_row(
    headers: cabc.Mapping[str, str],
    rows: cabc.Mapping[str, messages.Row],
    accounts: cabc.Container[str],
    work: str,
) -> messages.Row:
    """Return the table row that applies to a request.

    :raises RequestError: if the account is unknown, or has no row for
        that kind of work.
    """
    account = headers.get(ACCOUNT_HEADER, '')
    if not account:
        raise bad_request(f'header {ACCOUNT_HEADER} is missing', 401)
    if account not in accounts:
        raise bad_request(f'unknown account {account!r}', 403)
    row = rows.get(f'{account}/{work}')
    if row is None:
        raise bad_request(
            f'account {account!r} has no row for work {work!r}', 403
        )
    return row


def make_spec(chat: ChatBody, row: messages.Row) -> _generation.GenerationSpec:
    """Return the generation spec of a request, with its fingerprint."""
    content = msgspec.json.encode((chat.model, chat.messages, chat.max_tokens))
    return _generation.GenerationSpec(
        row.account,
        row.work,
        chat.model,
        chat.messages,
        chat.max_tokens,
        decisions.content_fingerprint(content),
        row,
    )


def read_key(headers: cabc.Mapping[str, str]) -> str:
    """Return the idempotency key, or ``''`` if there is none.

    :raises RequestError: if it is too long or not printable ASCII.
    """
    key = headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH or not (key.isprintable() and key.isascii()):
        raise bad_request(
            f'header {KEY_HEADER} must be printable ASCII, 128 at most'
        )
    return key


def read_resume(headers: cabc.Mapping[str, str]) -> int:
    """Return the number of tokens the caller has: last offset plus one.

    :raises RequestError: if the header is not a valid offset.
    """
    text = headers.get(RESUME_HEADER, '')
    if not text:
        return 0
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise bad_request(f'header {RESUME_HEADER} must be a token offset')
    return int(text) + 1


def key_time(key: str) -> float:
    """Return the timestamp of a UUIDv7 key, in seconds since the epoch.

    The first 48 bits are milliseconds (RFC 9562). Claims expire by this
    time, so that a retry with an expired key is refused, not run again.

    :raises RequestError: if the key isn't a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise bad_request(
            f'header {KEY_HEADER} must be a UUIDv7 for a call that is not '
            'idempotent'
        )
    return (parsed.int >> 80) / 1000
