"""Opaque requests over backend servers that fail in every way."""

import asyncio
import random

import attrs
import loguru
import pytest

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes


@attrs.define
class Script:
    """What one engine does with the next request.

    :param events: numbers of the events it sends.
    :param then: ``end``, ``reset``, ``silent`` or ``half`` an event.
    """

    status: int = 200
    events: tuple = ()
    then: str = 'end'
    not_run: bool = False
    own: bool = True
    genuine: bool = True
    error: str = ''
    body: bytes = b'done'


class FakeAnswer(calls.BackendAnswer):
    def __init__(self, client, address, script):
        self.script = script
        self.client = client
        self.address = address
        self.left = list(script.events)
        self.head = calls.AnswerHead(
            script.status,
            (('X-Engine', address),),
            script.own,
            script.genuine,
            script.not_run,
        )

    async def chunk(self):
        if self.left:
            return event(self.left.pop(0))
        if self.script.then == 'half':
            self.script.then = 'reset'
            return b'id: 99\ndata'
        if self.script.then == 'reset':
            raise errors.BackendError('reset', 'answer', self.address)
        if self.script.then == 'silent':
            await asyncio.sleep(60)
        return b''

    async def body(self):
        if self.script.then == 'silent':
            await asyncio.sleep(60)
        if self.script.then == 'reset':
            raise errors.BackendError('reset', 'answer', self.address)
        return self.script.body

    def close(self):
        self.client.log.append(('close', self.address))


class FakeClient(calls.BackendClient):
    def __init__(self):
        self.scripts = []
        self.dead = set()
        self.log = []
        self.attempts = []
        self.copies = []

    async def send(self, call, attempt):
        self.log.append(('send', attempt.address))
        self.attempts.append(attempt)
        script = self.scripts.pop(0)
        if script.error:
            raise errors.BackendError('lost', script.error, attempt.address)
        return FakeAnswer(self, attempt.address, script)

    async def alive(self, address, timeout):
        return address not in self.dead

    async def copy_run(self, call, source, target, timeout):
        self.copies.append((source, target))
        return calls.RunCopy(source, f'h{len(self.copies)}')

    async def drop_copy(self, copy, timeout):
        self.copies.append(('drop', copy))

    async def close(self):
        pass


class FakeCaller(calls.CallerStream):
    def __init__(self):
        self.begun = False
        self.data = b''
        self.ended = self.was_cut = False
        self.headers = ()

    async def begin(self, status, headers):
        self.begun = True
        self.headers = headers

    async def write(self, data):
        self.data += data

    async def end(self):
        self.ended = True

    def cut(self):
        self.was_cut = True


def event(number):
    return f'id: {number}\ndata: t{number}\n\n'.encode()


def text(*numbers):
    return b''.join(map(event, numbers))


@pytest.fixture
def client():
    return FakeClient()


@pytest.fixture
def parts(client):
    placement = decisions.Placement(random.Random(1))
    placement.update(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', f'dc{n % 3}', 64
            )
            for n in range(6)
        ]
    )
    return forwarding.Parts(
        placement,
        client,
        decisions.RepeatBudget(1.0, 100, 10.0),
        node.NoMetrics(),
        decisions.Crashers(placement.lost_near),
    )


def a_job(parts, kind, wait_s=5.0, after=None, attempts=5):
    call = calls.Call(
        'req-1',
        'POST',
        '/a/x',
        'h',
        'k',
        (),
        b'',
        wait_s,
        after,
        calls.Prompt(8000, 100, ('p',)),
    )
    route = routes.Route(
        'r',
        'h',
        '/a/',
        kind,
        [routes.Target('engines', 1)],
        wait_s,
        0.3,
        max_attempts=attempts,
        resumable=True,
    )
    return forwarding.Job(
        call, route, 'engines', 'acct', parts.clock() + wait_s
    )


@pytest.fixture
def logged():
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record['extra']))
    yield lines
    loguru.logger.remove(sink)


async def stream(parts, **options):
    out = FakeCaller()
    job = a_job(parts, routes.Kind.STREAM, **options)
    reply = await forwarding.StreamRun(parts, job, out).run()
    return out, reply


async def plain(parts, kind, **options):
    return await forwarding.PlainRun(
        parts, a_job(parts, kind, **options)
    ).run()


async def test_a_whole_stream_goes_through(client, parts):
    client.scripts = [Script(events=(1, 2, 3))]
    out, reply = await stream(parts)
    assert reply is None
    assert out.data == text(1, 2, 3)
    assert out.ended and not out.was_cut
    assert client.attempts[0].backup


async def test_a_broken_stream_goes_on_in_the_same_answer(client, parts):
    # The engine dies in the middle of an event. The caller sees the next
    # event from another engine, in the same answer; the half event is
    # nowhere in it, and the first engine is left before the second one works.
    client.scripts = [
        Script(events=(1, 2), then='half'),
        Script(events=(3, 4)),
    ]
    out, _ = await stream(parts)
    assert out.data == text(1, 2, 3, 4)
    assert out.ended
    first, second = client.attempts
    assert second.after == 2
    assert second.address != first.address
    assert client.log.index(('close', first.address)) < client.log.index(
        ('send', second.address)
    )


async def test_the_log_tells_how_long_a_caller_waited(client, parts, logged):
    # A caller complains of a pause. Its stream ended whole, and one line says
    # when the first event came and how long the worst pause was.
    client.scripts = [Script(events=(1,), then='reset'), Script(events=(2,))]
    await stream(parts)
    end = logged[-1]
    assert end['decision'] == 'stream whole'
    assert (end['last'], end['lost_runs']) == (2, 1)
    assert 0 <= end['longest_pause_s'] <= end['seconds']
    assert 0 <= end['first_s'] <= end['seconds']


async def test_the_copy_is_asked_for_only_where_one_can_be(
    client, parts, monkeypatch
):
    # Engines copy a run's memory several times a second: a run that ended
    # before has no copy, and the asking would only cost a refusal.
    client.scripts = [Script(error='send'), Script(events=(1,))]
    await stream(parts)
    assert client.attempts[1].copy is None
    monkeypatch.setattr('bulrushhold.forwarding._streams.COPY_AFTER_S', 0.0)
    client.attempts.clear()
    client.scripts = [
        Script(events=(1,), then='reset'),
        Script(events=(2,)),
    ]
    await stream(parts)
    first, second = client.attempts
    assert second.copy == calls.RunCopy(first.backup)
    assert second.address == first.backup


async def test_a_copy_is_made_anew_where_the_backup_is_lost(client, parts):
    # The engine with the copy crashes, its data centre being the first to
    # go; seconds later the engine that runs the stream crashes too. The
    # caller waits for neither prompt nor events that were there before.
    client.scripts = [
        Script(events=(1, 2), then='reset'),
        Script(events=(3,)),
    ]
    answer = FakeAnswer.chunk
    parts.placement.failed('i5', parts.clock(), gone=True)

    async def slowly(self):
        await asyncio.sleep(0.02)
        if self.left == [2]:
            backup = client.attempts[0].backup
            ident = f'i{backup[7]}'
            parts.placement.failed(ident, parts.clock(), gone=True)
        if not self.left and self.script.then == 'reset':
            await asyncio.sleep(0.1)
        return await answer(self)

    FakeAnswer.chunk = slowly
    try:
        with pytest.MonkeyPatch.context() as patch:
            streams = 'bulrushhold.forwarding._streams'
            patch.setattr(f'{streams}.COPY_AFTER_S', 0.0)
            out, _ = await stream(parts)
    finally:
        FakeAnswer.chunk = answer
    first, second = client.attempts
    source, target = client.copies[0]
    assert source == first.address and target != first.backup
    assert second.address == target
    assert second.copy == calls.RunCopy(first.address, 'h1')
    assert out.data == text(1, 2, 3)


async def test_repeated_events_are_dropped_and_a_gap_is_a_loss(client, parts):
    client.scripts = [
        Script(events=(1, 2), then='reset'),
        Script(events=(2, 3, 5)),
        Script(events=(4, 5, 6)),
    ]
    out, _ = await stream(parts)
    assert out.data == text(1, 2, 3, 4, 5, 6)
    assert out.ended


async def test_a_stream_with_nowhere_to_go_looks_broken(client, parts):
    client.scripts = [Script(events=(1,), then='reset')] * 5
    client.scripts = [attrs.evolve(s) for s in client.scripts]
    for script in client.scripts[1:]:
        script.events = ()
    out, _ = await stream(parts)
    assert out.data == text(1)
    assert out.was_cut and not out.ended


async def test_a_silent_engine_without_a_sign_of_life_is_left(client, parts):
    # The engine loses power: no reset comes. It is asked, gives no answer,
    # and the stream goes on elsewhere within half a second.
    client.scripts = [
        Script(events=(1,), then='silent'),
        Script(events=(2,)),
    ]
    run = asyncio.ensure_future(stream(parts))
    await asyncio.sleep(0.01)
    client.dead.add(client.attempts[0].address)
    out, _ = await asyncio.wait_for(run, 0.5)
    assert out.data == text(1, 2)


async def test_a_stream_that_reached_nobody_is_refused_as_not_run(
    client, parts
):
    parts.placement.update([])
    with pytest.raises(errors.RequestError) as caught:
        await stream(parts)
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after > 0


async def test_a_caller_that_comes_back_gets_what_it_lacks(client, parts):
    client.scripts = [Script(events=(8, 9))]
    out, _ = await stream(parts, after=7)
    assert client.attempts[0].after == 7
    assert out.data == text(8, 9)


async def test_a_call_that_may_run_once_is_not_sent_twice(client, parts):
    client.scripts = [Script(error='send')]
    with pytest.raises(errors.RequestError) as caught:
        await plain(parts, routes.Kind.ONCE)
    assert caught.value.status == 502
    assert caught.value.ran is errors.Ran.UNKNOWN
    assert len(client.attempts) == 1


@pytest.mark.parametrize(
    'first', [Script(error='connect'), Script(status=503, not_run=True)]
)
async def test_a_call_that_surely_did_not_run_goes_elsewhere(
    client, parts, first
):
    client.scripts = [first, Script()]
    reply = await plain(parts, routes.Kind.ONCE)
    assert reply.body == b'done'
    assert client.attempts[0].address != client.attempts[1].address
    assert all(attempt.fresh for attempt in client.attempts)


async def test_an_own_failure_is_passed_on_where_it_may_run_once(
    client, parts
):
    client.scripts = [Script(status=500, body=b'broken')]
    reply = await plain(parts, routes.Kind.ONCE)
    assert (reply.status, reply.body) == (500, b'broken')


async def test_a_look_up_that_fails_is_tried_elsewhere(client, parts):
    client.scripts = [Script(status=500), Script()]
    reply = await plain(parts, routes.Kind.IDEMPOTENT)
    assert reply.status == 200


@pytest.mark.parametrize('fault', [{'own': False}, {'genuine': False}])
async def test_somebody_elses_answer_is_never_passed_on(client, parts, fault):
    # A late answer to another request comes on the kept connection.
    client.scripts = [Script(body=b'theirs', **fault), Script(body=b'mine')]
    reply = await plain(parts, routes.Kind.IDEMPOTENT)
    assert reply.body == b'mine'


async def test_the_last_attempt_is_waited_for(client, parts):
    # Two servers are allowed. A first one that is slow is left; leaving the
    # second one too would throw away an answer that is on its way.
    client.scripts = [Script(then='silent'), Script(then='silent')]
    with pytest.raises(errors.RequestError) as caught:
        await plain(parts, routes.Kind.IDEMPOTENT, wait_s=1.0, attempts=2)
    assert caught.value.status == 504
    assert client.attempts[1].left_s < 0.6
    assert len(client.attempts) == 2


def test_events_are_whole_however_they_arrive():
    data = text(1, 2, 3)
    for size in range(1, len(data)):
        splitter = forwarding.EventSplitter()
        events = []
        for start in range(0, len(data), size):
            events += splitter.feed(data[start : start + size])
        assert [e.number for e in events] == [1, 2, 3]
        assert b''.join(e.data for e in events) == data
        assert not splitter.rest


class FakeTransport:
    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, message))


@pytest.fixture
def fleet(parts):
    return forwarding.Fleet(
        messages.ListedEntry('e1', 'dc0', '10.0.1.1:80', True),
        ['10.0.2.1:70'],
        FakeTransport(),
        None,
        parts.placement,
        parts.budget,
        parts.crashers,
    )


def a_reply(version=1, **more):
    route_map = routes.RouteMap(
        version,
        [
            routes.Route(
                'r',
                'h',
                '/a/',
                routes.Kind.IDEMPOTENT,
                [routes.Target('engines', 1)],
                3.0,
                0.3,
            )
        ],
        [routes.Service('engines')],
    )
    return messages.WatchReply(
        'done', route_map=messages.pack_map(route_map), **more
    )


async def test_a_request_at_a_starting_entry_waits_for_the_map(
    client, parts, fleet
):
    # All instances lost power and start together. A caller comes 0.1 s
    # before the entry knows the map, and may come back only once.
    client.scripts = [Script()]
    forwarder = forwarding.Forwarder(fleet, parts)
    call = a_job(parts, routes.Kind.IDEMPOTENT).call
    run = asyncio.ensure_future(forwarder.handle(call, FakeCaller()))
    await asyncio.sleep(0.05)
    fleet._take(a_reply())
    assert (await run).status == 200


async def test_without_a_map_the_answer_is_a_promise_not_a_404(parts, fleet):
    forwarder = forwarding.Forwarder(fleet, parts)
    call = a_job(parts, routes.Kind.ONCE, wait_s=0.1).call
    with pytest.raises(errors.RequestError) as caught:
        await forwarder.handle(call, FakeCaller())
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO


async def test_the_map_in_force_never_goes_back(fleet):
    fleet._take(a_reply(5))
    fleet._take(a_reply(4))
    assert fleet.map_version == 5


async def test_directory_answers_hold_while_control_is_away(fleet):
    entries = [
        messages.ListedEntry(f'e{n}', 'dc', f'10.0.1.{n}:80', n != 3)
        for n in range(1, 5)
    ]
    fleet._take(
        a_reply(
            entries_version='1.1',
            entries=entries,
            backends_version='1.1',
            backends=[],
        )
    )
    fleet._take(messages.WatchReply('done'))
    assert sorted(fleet.addresses(64)) == [
        '10.0.1.1:80',
        '10.0.1.2:80',
        '10.0.1.4:80',
    ]
    assert len(fleet.addresses(2)) == 2
    fleet.leave()
    assert '10.0.1.1:80' not in fleet.addresses(64)


async def test_a_silent_control_process_is_not_drawn_again_at_once(fleet):
    # The leader's machine freezes, and the entry looks for another one among
    # three addresses. Drawing the frozen one again costs 0.8 s each time, and
    # a new route map comes too late.
    fleet.seeds = ['frozen', 'b', 'c']
    asked = []

    async def watch(address):
        asked.append(address)
        if address == 'frozen' and len(asked) < 40:
            raise errors.PeerError('no answer')
        fleet.leader = ''
        if len(asked) >= 40:
            raise asyncio.CancelledError

    fleet._watch = watch
    with pytest.raises(asyncio.CancelledError):
        await fleet.follow()
    assert asked.count('frozen') <= 1
