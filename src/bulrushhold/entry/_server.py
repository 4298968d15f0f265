"""HTTP interface of an entry for callers and operators."""

import asyncio
import contextlib
import random
import time
import typing as t

from aiohttp import web
import loguru
import msgspec
import uuid_utils

from bulrushhold import decisions
from bulrushhold.entry import _admission
from bulrushhold.entry import _control
from bulrushhold.entry import _eventstream
from bulrushhold.entry import _generation
from bulrushhold.entry import _operators
from bulrushhold.entry import _platformview
from bulrushhold.entry import _registry
from bulrushhold.entry import _requests
from bulrushhold.entry import _services
from bulrushhold.entry import _shutdown
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports
from bulrushhold import settings

NOT_READY_RETRY_S: t.Final = 2.0
DRAIN_RETRY_S: t.Final = 0.0
MAX_HEADER_DELAY_S: t.Final = 0.5
_JSON: t.Final = 'application/json'
_encode = msgspec.json.encode


class EntryServer:
    """Serves callers' HTTP requests."""

    def __init__(
        self,
        config: settings.Entry,
        view: _platformview.PlatformView,
        table: _control.TableView,
        control: _control.ControlClient,
        registry: _registry.GenerationRegistry,
        services: _services.ServiceRunner,
        admission: _admission.Admission,
        metrics: ports.Metrics,
        operators: _operators.OperatorRoutes,
    ) -> None:
        self.config = config
        self.view = view
        self.table = table
        self.control = control
        self.registry = registry
        self.services = services
        self.admission = admission
        self.metrics = metrics
        self.operators = operators
        self.draining = False
        self.shutdown = _shutdown.Shutdown()
        self.requests_in_progress = 0
        self.calls_in_progress = 0

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        app = web.Application(
            client_max_size=self.config.max_body_bytes,
            middlewares=[self._finish_request],
        )
        app.add_routes(
            [
                web.get('/v1/entries', self._entries),
                web.post('/v1/chat/completions', self._chat),
                web.route('*', '/v1/services/{service}/{path:.*}', self._call),
                web.get('/healthz', self._health),
                web.get('/readyz', self._ready),
                web.get('/v1/status', self._status),
            ]
        )
        app.add_routes(self.operators.routes())
        return app

    @property
    def in_progress(self) -> bool:
        """Whether an exit would cut a request or lose an outcome.

        Generations and calls go on without the requests that started them.
        """
        return bool(
            self.requests_in_progress
            or self.registry.running
            or self.services.unfinished
        )

    def shut_down(self) -> bool:
        """Answer at once the requests that are still in progress.

        Handlers write their error responses and events afterwards.

        :return: whether callers go on elsewhere with generations from here.
        """
        self.draining = True
        self.shutdown.start()
        return self.registry.shut_down()

    # Errors and admission

    @web.middleware
    async def _finish_request(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        self.requests_in_progress += 1
        try:
            response = await self._answer_or_error(request, handler)
        finally:
            self.requests_in_progress -= 1
        is_last = self.draining and _shutdown.is_last(request)
        if is_last and not response.prepared:
            response.force_close()
        return response

    async def _answer_or_error(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except errors.RequestError as error:
            return self._error_response(error)
        except web.HTTPRequestEntityTooLarge:
            limit = self.config.max_body_bytes
            return self._error_response(
                _requests.bad_request(f'the body exceeds {limit} bytes', 413)
            )
        except web.HTTPException as error:
            return self._error_response(
                _requests.bad_request(error.reason, error.status)
            )
        except ConnectionResetError:
            raise
        except Exception:
            loguru.logger.exception('request failed')
            return self._error_response(
                errors.RequestError(
                    'internal error',
                    'entry',
                    ran=errors.Ran.UNKNOWN,
                    status=500,
                )
            )

    def _error_response(self, error: errors.RequestError) -> web.Response:
        self.metrics.count(f'refused.{error.status}')
        headers = {}
        if error.retry_after is not None:
            headers['Retry-After'] = str(max(0, round(error.retry_after)))
        return web.Response(
            status=error.status,
            body=_encode(error.body()),
            content_type=_JSON,
            headers=headers,
        )

    def _check_accepting(self) -> None:
        """Check that this entry accepts new requests.

        :raises RequestError: with ``ran`` ``no``, if it is draining or
            its table isn't confirmed.
        """
        others = ', '.join(
            instance.http
            for instance in self.view.listed()
            if instance.name != self.config.name
        )
        if self.draining:
            raise errors.RequestError(
                f'this entry is draining; use {others or "another"}',
                'admission',
                status=503,
                retry_after=DRAIN_RETRY_S,
            )
        if not self.table.in_force():
            raise errors.RequestError(
                f'no confirmed table at this entry; use {others or "another"}',
                'admission',
                status=503,
                retry_after=NOT_READY_RETRY_S,
            )

    def _find_row(self, request: web.Request, work: str) -> messages.Row:
        return _requests.find_row(
            request.headers, self.table.rows, self.table.accounts, work
        )

    # Generations

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        key = _requests.read_key(request.headers)
        received = _requests.read_resume(request.headers)
        async with self.shutdown.step() as step:
            chat, key, generation = await self._open_generation(
                request, key, received, step
            )
        self.metrics.count('generations')
        generation.readers += 1
        try:
            if chat.stream:
                return await self._stream(request, generation, key, received)
            return await self._complete_answer(generation, key)
        finally:
            generation.readers -= 1

    async def _open_generation(
        self,
        request: web.Request,
        key: str,
        received: int,
        step: _shutdown.Step,
    ) -> tuple[_requests.ChatBody, str, _generation.Generation]:
        account = request.headers.get(_requests.ACCOUNT_HEADER, '')
        if f'{account}/{key}' in self.registry.generations:
            step.ran = errors.Ran.UNKNOWN
        else:
            # Existing streams can still be read while the entry drains.
            self._check_accepting()
        chat = _requests.read_chat(await request.read())
        work = request.headers.get(
            _requests.WORK_HEADER, _requests.DEFAULT_WORK
        )
        row = self._find_row(request, work)
        spec = _requests.make_spec(chat, row)
        if not self.view.has_model(chat.model):
            raise _requests.bad_request(f'unknown model {chat.model!r}', 404)
        if spec.fingerprint in self.table.quarantined:
            raise errors.RequestError(
                'this content is quarantined: it crashed two engines',
                'quarantine',
                status=422,
            )
        new_key = not key
        key = key or str(uuid_utils.uuid7())
        generation = await self.registry.open(
            f'{row.account}/{key}', spec, received, new_key=new_key
        )
        return chat, key, generation

    async def _complete_answer(
        self, generation: _generation.Generation, key: str
    ) -> web.Response:
        while not generation.ended:
            await generation.wait()
        if generation.error is not None:
            raise generation.error
        transcript = generation.transcript
        body = {
            'id': key,
            'model': generation.spec.model,
            'choices': [
                {
                    'index': 0,
                    'message': {
                        'role': 'assistant',
                        'content': ''.join(transcript.tokens),
                    },
                    'finish_reason': transcript.finish,
                }
            ],
            'usage': {'completion_tokens': len(transcript.tokens)},
        }
        return web.Response(
            body=_encode(body),
            content_type=_JSON,
            headers={_requests.KEY_HEADER: key},
        )

    async def _stream(
        self,
        request: web.Request,
        generation: _generation.Generation,
        key: str,
        received: int,
    ) -> web.StreamResponse:
        await self._await_first_token(generation, received)
        if generation.error is not None and generation.visible <= received:
            # Before the first byte, an error can still be an HTTP status.
            raise generation.error
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
                _requests.KEY_HEADER: key,
            }
        )
        await response.prepare(request)
        stream = _eventstream.CallerStream(generation, response, received)
        await stream.run(request.transport)
        return response

    async def _await_first_token(
        self, generation: _generation.Generation, received: int
    ) -> None:
        """Wait for the first token, but no longer than headers may take."""

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_HEADER_DELAY_S):
                while generation.visible <= received and not generation.ended:
                    await generation.wait()

    # Plain services

    async def _call(self, request: web.Request) -> web.Response:
        async with self.shutdown.step() as step:
            answer = await self._run_call(request, step)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={'Content-Type': answer.content_type},
        )

    async def _run_call(
        self, request: web.Request, step: _shutdown.Step
    ) -> ports.ServiceResponse:
        service = request.match_info['service']
        path = request.match_info['path']
        self._check_accepting()
        row = self._find_row(request, f'{service}/{path.partition("/")[0]}')
        key = _requests.read_key(request.headers)
        call = ports.ServiceRequest(
            request=str(uuid_utils.uuid4()),
            method=request.method,
            path=f'/{path}',
            query=request.query_string,
            body=await request.read(),
            content_type=request.content_type,
            timeout_s=row.deadline_s,
        )
        slot = await self.admission.acquire_call(row)
        self.calls_in_progress += 1
        step.ran = errors.Ran.UNKNOWN
        try:
            if row.idempotent:
                return await self.services.call_idempotent(service, row, call)
            return await self._call_once(service, row, call, key)
        finally:
            self.calls_in_progress -= 1
            self.admission.release(slot, 1)

    async def _call_once(
        self,
        service: str,
        row: messages.Row,
        call: ports.ServiceRequest,
        key: str,
    ) -> ports.ServiceResponse:
        if not key:
            raise _requests.bad_request(
                f'header {_requests.KEY_HEADER} is needed: this call is '
                'not idempotent'
            )
        return await self.services.call_once(service, row, call, key)

    # Entries and health

    async def _entries(self, request: web.Request) -> web.Response:
        account = request.query.get('account', '')
        if not account:
            raise _requests.bad_request('parameter account is missing')
        data_centre = request.query.get('data_centre', '')
        weights = self.table.accounts
        share = weights.get(account, 0.0) / (sum(weights.values()) or 1.0)
        chosen = decisions.entries_for_account(
            account, share, self.view.listed(), data_centre
        )
        if len(chosen) > decisions.SMALL_ACCOUNT_ENTRIES:
            # Callers use the first entry; this spreads a large account.
            random.shuffle(chosen)
        body = {
            'entries': [instance.http for instance in chosen],
            'revision': self.table.revision,
            'keep_s': self.config.answer_ttl_s,
        }
        return web.Response(body=_encode(body), content_type=_JSON)

    async def _health(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text='ok\n')

    async def _ready(self, request: web.Request) -> web.Response:
        del request
        self._check_accepting()
        return web.Response(text='ready\n')

    async def _status(self, request: web.Request) -> web.Response:
        del request
        backends = [
            {
                'name': state.server.name,
                'kind': state.server.kind,
                'own': state.own_requests,
                'leaving': state.server.leaving,
                'open': time.monotonic() >= state.backoff_until,
            }
            for state in self.view.router.states.values()
        ]
        try:
            control = await self.control.read_status()
        except errors.PeerError as error:
            control = {'error': str(error)}
        body = {
            'name': self.config.name,
            'draining': self.draining,
            'table_revision': self.table.revision,
            'table_in_force': self.table.in_force(),
            'generations': self.registry.running,
            'waiting': self.admission.queue.waiting,
            'places': self.admission.queue.capacity,
            'calls': self.calls_in_progress,
            'backend_servers': backends,
            'quarantined': sorted(self.table.quarantined),
            'entries': {
                instance.name: instance.http for instance in self.view.listed()
            },
            'control': control,
        }
        return web.Response(body=_encode(body), content_type=_JSON)
