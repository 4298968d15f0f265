"""Client library for callers.

Callers can also use plain HTTP. The library caches the list of entries,
sends an idempotency key with each request, and resumes an interrupted answer
at another entry from the last token received.
"""

import asyncio
import collections.abc as cabc
import json
import time
import typing as t

import aiohttp
import attrs
import uuid_utils

from bulrushhold import errors
from bulrushhold import web

REFRESH_TIMEOUT_S: t.Final = 2.0
RETRY_DELAY_S: t.Final = 0.2
READ_TIMEOUT_S: t.Final = 1.5
# More than an entry passes on of a service's answer.
MAX_ANSWER_BYTES: t.Final = 8 << 20
_CONNECTION_ERRORS: t.Final = (
    aiohttp.ClientError,
    ConnectionError,
    asyncio.TimeoutError,
)
# Everything that decoding and indexing arbitrary JSON can raise.
_DECODE_ERRORS: t.Final = (ValueError, LookupError, TypeError)


@attrs.define(slots=False)
class _StreamFailedError(errors.RequestError):
    """An error that an entry reported in a stream that had begun."""


class _EntryBackoffs:
    """Entries that one request doesn't use for a time after a failure.

    :param deadline: monotonic seconds until which the request is retried.
    """

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.ends_at: dict[str, float] = {}

    def record(self, entry: str, retry_after: float | None = None) -> None:
        """Record a failed try, and the time that the entry asked for."""
        seconds = max(RETRY_DELAY_S, retry_after or 0.0)
        self.ends_at[entry] = time.monotonic() + seconds

    def __contains__(self, entry: str) -> bool:
        return self.ends_at.get(entry, 0.0) > time.monotonic()

    def outlast_deadline(self, entries: cabc.Iterable[str]) -> bool:
        """Whether none of these entries can be used before the deadline."""
        return all(
            self.ends_at.get(entry, 0.0) > self.deadline for entry in entries
        )


@attrs.frozen
class Answer:
    """A plain service's response."""

    status: int
    body: bytes


class Client:
    """Client for one client account.

    :param seeds: addresses of entries to ask for the list of entries.
    :param deadline_s: seconds for which a request is retried.
    """

    def __init__(
        self,
        account: str,
        seeds: list[str],
        *,
        data_centre: str = '',
        deadline_s: float = 60.0,
    ) -> None:
        self.account = account
        self.seeds = seeds
        self.data_centre = data_centre
        self.deadline_s = deadline_s
        self.entries: list[str] = []
        self.entries_expire_at = 0.0
        self.session = aiohttp.ClientSession(
            connector=web.StrictConnector(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        )

    async def __aenter__(self) -> 'Client':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def generate(
        self,
        model: str,
        messages: list[dict[str, str]],
        *,
        max_tokens: int = 1024,
        work: str = 'chat',
        key: str = '',
    ) -> cabc.AsyncGenerator[str, None]:
        """Yield all tokens of an answer.

        :raises RequestError: if the request is refused, or no entry could
            be reached before the deadline.
        """
        key = key or str(uuid_utils.uuid7())
        body = {
            'model': model,
            'messages': messages,
            'max_tokens': max_tokens,
            'stream': True,
        }
        headers = {'Bulrushhold-Work': work, 'Idempotency-Key': key}
        received = 0
        ran = errors.Ran.NO
        deadline = time.monotonic() + self.deadline_s
        failed = _EntryBackoffs(deadline)
        while True:
            entry = await self._pick_entry(failed, ran)
            if received:
                headers['Last-Event-ID'] = str(received - 1)
            try:
                async for offset, token in self._read(entry, body, headers):
                    if offset is None:
                        return
                    if offset != received:
                        raise _stream_error(
                            f'token {offset} after {received}', entry
                        )
                    received += 1
                    ran = errors.Ran.YES
                    # The deadline applies to the time without progress.
                    deadline = time.monotonic() + self.deadline_s
                    failed.deadline = deadline
                    yield token
                raise _stream_error('the stream ended early', entry)
            except (*_CONNECTION_ERRORS, *_DECODE_ERRORS) as error:
                failed.record(entry)
                ran = _combine_ran(ran, _ran_after(error))
                if time.monotonic() > deadline:
                    raise _stream_error(str(error), entry) from error
            except errors.RequestError as error:
                ran = error.ran = _combine_ran(ran, error.ran)
                failed.record(entry, error.retry_after)
                if not _retry_elsewhere(error) or self._is_hopeless(failed):
                    raise
                await asyncio.sleep(min(RETRY_DELAY_S, error.retry_after or 0))

    async def call(
        self,
        service: str,
        path: str,
        *,
        method: str = 'GET',
        body: dict[str, t.Any] | None = None,
        key: str = '',
    ) -> Answer:
        """Call a plain service.

        All tries use the same key, so that a call that isn't idempotent
        runs at most once even if a response is lost.

        :raises RequestError: with ``ran`` saying whether the call was
            made, as far as is known.
        """
        key = key or str(uuid_utils.uuid7())
        ran = errors.Ran.NO
        deadline = time.monotonic() + self.deadline_s
        failed = _EntryBackoffs(deadline)
        while True:
            entry = await self._pick_entry(failed, ran)
            url = f'http://{entry}/v1/services/{service}/{path}'
            try:
                async with self.session.request(
                    method,
                    url,
                    json=body,
                    headers={
                        'Bulrushhold-Account': self.account,
                        'Idempotency-Key': key,
                    },
                ) as response:
                    content = await web.read_whole(response, MAX_ANSWER_BYTES)
                    error = _decode_error(response.status, content, entry)
                if error is None:
                    return Answer(response.status, content)
                # A claim's outcome covers every try with this key.
                if error.step != 'claim':
                    error.ran = _combine_ran(ran, error.ran)
                ran = error.ran
                failed.record(entry, error.retry_after)
                if error.status != 503 or self._is_hopeless(failed):
                    raise error
            except _CONNECTION_ERRORS as error:
                ran = _combine_ran(ran, _ran_after(error))
                failed.record(entry)
                if time.monotonic() > deadline:
                    raise errors.RequestError(
                        str(error), 'call', entry, ran=ran
                    ) from error
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read(
        self, entry: str, body: dict[str, t.Any], headers: dict[str, str]
    ) -> cabc.AsyncGenerator[tuple[int | None, str], None]:
        url = f'http://{entry}/v1/chat/completions'
        all_headers = {**headers, 'Bulrushhold-Account': self.account}
        # Entries send keep-alive comments while an engine is slow.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1.0, sock_read=READ_TIMEOUT_S
        )
        async with self.session.post(
            url, json=body, headers=all_headers, timeout=timeout
        ) as response:
            if response.status != 200:
                content = await web.read_whole(response, MAX_ANSWER_BYTES)
                error = _decode_error(response.status, content, entry)
                raise error or _stream_error(
                    f'status {response.status}', entry
                )
            offset = -1
            is_error = False
            async for raw in response.content:
                line = raw.rstrip(b'\n')
                if line.startswith(b'id: '):
                    offset = int(line[4:])
                elif line == b'event: error':
                    is_error = True
                elif line == b'data: [DONE]':
                    yield None, ''
                    return
                elif line.startswith(b'data: '):
                    if is_error:
                        error = _decode_error(500, line[6:], entry)
                        if error is None:
                            raise _stream_error('bad error event', entry)
                        raise _StreamFailedError(**attrs.asdict(error))
                    token = _decode_token(line[6:])
                    if token is not None:
                        yield offset, token

    def _is_hopeless(self, failed: _EntryBackoffs) -> bool:
        """Whether no entry can be used before the deadline."""
        return time.monotonic() > failed.deadline or failed.outlast_deadline(
            self.entries or self.seeds
        )

    async def _pick_entry(
        self, failed: _EntryBackoffs, ran: errors.Ran
    ) -> str:
        """Return the entry to use next.

        :param ran: whether earlier tries of the request have run.
        """
        while True:
            if time.monotonic() >= self.entries_expire_at:
                await self._refresh_entries(failed)
            for entry in self.entries or self.seeds:
                if entry not in failed:
                    return entry
            self.entries_expire_at = 0.0
            if time.monotonic() > failed.deadline:
                raise errors.RequestError(
                    'no entry could be reached',
                    'client',
                    ran=ran,
                    retry_after=1.0,
                )
            await asyncio.sleep(RETRY_DELAY_S)

    async def _refresh_entries(self, failed: _EntryBackoffs) -> None:
        params = {
            'account': self.account,
            'data_centre': self.data_centre,
        }
        all_entries = [*self.entries, *self.seeds]
        candidates = [e for e in all_entries if e not in failed] or all_entries
        for entry in dict.fromkeys(candidates):
            try:
                async with self.session.get(
                    f'http://{entry}/v1/entries',
                    params=params,
                    timeout=aiohttp.ClientTimeout(total=REFRESH_TIMEOUT_S),
                ) as response:
                    if response.status != 200:
                        continue
                    content = await web.read_whole(response, MAX_ANSWER_BYTES)
                answer = json.loads(content)
                entries, keep_s = list(answer['entries']), answer['keep_s']
                self.entries_expire_at = time.monotonic() + keep_s
            except (*_CONNECTION_ERRORS, *_DECODE_ERRORS):
                continue
            self.entries = entries
            return


def _ran_after(error: Exception) -> errors.Ran:
    """Whether a request has run whose connection failed."""
    if isinstance(error, aiohttp.ClientConnectorError):
        return errors.Ran.NO
    return errors.Ran.UNKNOWN


def _combine_ran(earlier: errors.Ran, latest: errors.Ran) -> errors.Ran:
    """Whether a request has run, from its earlier tries and the latest one.

    A refusal of the latest try says nothing about the earlier ones.
    """
    for ran in (errors.Ran.YES, errors.Ran.UNKNOWN):
        if ran in (earlier, latest):
            return ran
    return errors.Ran.NO


def _decode_token(data: bytes) -> str | None:
    delta = json.loads(data)['choices'][0]['delta']
    return delta.get('content')


def _decode_error(
    status: int, content: bytes, entry: str
) -> errors.RequestError | None:
    """Return the error in a response, ``None`` for a service's own error."""
    if status < 400:
        return None
    try:
        fields = json.loads(content)['error']
        return errors.RequestError(
            fields['reason'],
            fields['step'],
            fields['peer'] or entry,
            ran=errors.Ran(fields['ran']),
            status=fields.get('status', status),
            retry_after=fields.get('retry_after'),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _stream_error(reason: str, entry: str) -> aiohttp.ClientPayloadError:
    return aiohttp.ClientPayloadError(f'{entry}: {reason}')


def _retry_elsewhere(error: errors.RequestError) -> bool:
    """Whether to retry at another entry with the same key."""
    if error.step in ('fenced', 'entry'):
        return True
    return error.status == 503 and not isinstance(error, _StreamFailedError)
