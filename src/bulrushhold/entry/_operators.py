"""HTTP routes for operators: the table and the quarantine."""

import hmac
import time
import typing as t

from aiohttp import web
import msgspec

from bulrushhold import decisions
from bulrushhold.entry import _control
from bulrushhold.entry import _requests
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node

PUSH_DEADLINE_S: t.Final = 10.0
RETRY_AFTER_S: t.Final = 2.0
_JSON: t.Final = 'application/json'
_encode = msgspec.json.encode


class OperatorRoutes:
    """Routes to pull and push the table and to lift quarantines.

    :param key: operator key; ``''`` rejects all requests.
    """

    def __init__(self, control: _control.ControlClient, key: str) -> None:
        self.control = control
        self.key = key

    def routes(self) -> list[web.RouteDef]:
        """Return the aiohttp route definitions."""
        return [
            web.get('/v1/table', self._pull),
            web.post('/v1/table', self._push),
            web.get('/v1/table/history', self._history),
            web.delete('/v1/quarantine/{fingerprint}', self._lift_quarantine),
        ]

    def _check_operator(self, request: web.Request) -> None:
        actual = request.headers.get('Authorization', '')
        expected = f'Bearer {self.key}'
        if not self.key:
            raise _requests.bad_request(
                'no operator key is set at this entry', 403
            )
        if not hmac.compare_digest(actual.encode(), expected.encode()):
            raise _requests.bad_request(
                'the operator key is wrong or missing', 403
            )

    async def _pull(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        read = messages.TableRead(0, '')
        reply = await self._read(read)
        text = decisions.write_csv(reply.rows, reply.revision)
        return web.Response(
            text=text,
            content_type='text/csv',
            headers={'Table-Revision': str(reply.revision)},
        )

    async def _push(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        edit_id = request.query.get('edit', '')
        if not edit_id or len(edit_id) > _requests.MAX_KEY_LENGTH:
            raise _requests.bad_request(
                'parameter edit is missing or too long'
            )
        try:
            text = (await request.read()).decode('utf-8')
            rows, base = decisions.read_csv(text)
        except UnicodeDecodeError:
            raise _requests.bad_request(
                'the table is not UTF-8 text'
            ) from None
        except ExceptionGroup as group:
            cells = [str(error) for error in group.exceptions]
            return web.Response(
                status=422,
                body=_encode({'accepted': False, 'cells': cells}),
                content_type=_JSON,
            )
        # Finds no rows if the base is too old; control then rejects the edit.
        base_table = await self._read(messages.TableRead(0, '', at=base))
        changed, removed = decisions.difference(base_table.rows, rows)
        edit = messages.TableEdit(
            edit_id,
            base,
            request.query.get('author', ''),
            time.time(),
            changed,
            removed,
        )
        try:
            outcome = await self.control.propose(edit, PUSH_DEADLINE_S)
        except errors.PeerError as error:
            raise errors.RequestError(
                f'{error.reason}; push again under the same edit id',
                'push',
                error.peer,
                ran=errors.Ran.UNKNOWN,
                status=503,
                retry_after=RETRY_AFTER_S,
            ) from error
        node.log_decision(
            'table edit',
            edit=edit_id,
            accepted=outcome.accepted,
            revision=outcome.revision,
            changed=outcome.changed,
        )
        return web.Response(
            status=200 if outcome.accepted else 409,
            body=_encode(outcome),
            content_type=_JSON,
        )

    async def _history(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        reply = await self._read(messages.HistoryRead())
        return web.Response(body=_encode(reply.items), content_type=_JSON)

    async def _lift_quarantine(self, request: web.Request) -> web.Response:
        self._check_operator(request)
        command = messages.Quarantine(
            request.match_info['fingerprint'], '', time.time(), lift=True
        )
        try:
            await self.control.propose(command, PUSH_DEADLINE_S)
        except errors.PeerError as error:
            raise self._control_error(error) from error
        return web.Response(body=b'{}', content_type=_JSON)

    async def _read(self, read: messages.Message) -> t.Any:
        try:
            return await self.control.read(read, PUSH_DEADLINE_S)
        except errors.PeerError as error:
            raise self._control_error(error) from error

    def _control_error(self, error: errors.PeerError) -> errors.RequestError:
        return errors.RequestError(
            error.reason,
            'control',
            error.peer,
            ran=errors.Ran.UNKNOWN,
            status=503,
            retry_after=RETRY_AFTER_S,
        )
