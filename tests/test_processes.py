"""Recovery when real processes are killed or stopped by signals."""

import asyncio
import signal
import time

import aiohttp
import pytest
import uuid_utils

from bulrushhold import client
from bulrushhold import testing
from tests import conftest

TOKEN_COUNT = 60
# A stream that lasts until its entry is found, on a busy machine too.
LONG_TOKEN_COUNT = 400


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    deployed = testing.Deployment(
        tmp_path_factory.mktemp('deployment'), engines=3, gap_s=0.02
    )
    try:
        deployed.start()
        yield deployed
    finally:
        deployed.stop()


def caller_of(deployment):
    return client.Client('vendors', deployment.seeds)


async def read(deployment, act, at=10, token_count=TOKEN_COUNT):
    """Read an answer; call ``act`` after ``at`` tokens."""
    tokens = []
    async with caller_of(deployment) as caller:
        async for token in caller.generate(
            'small', conftest.PROMPT, max_tokens=token_count
        ):
            tokens.append(token)
            if len(tokens) == at:
                await asyncio.to_thread(act, tokens)
    conftest.assert_complete(tokens, token_count)


def engine_of(tokens):
    return tokens[0].partition('-')[0]


def serving_entry(deployment):
    """Return the name of the entry with the running generation."""
    for name in deployment.entry_ports:
        if deployment.status(name)['generations']:
            return name
    # A StopIteration can't leave a thread: the test would never end.
    raise AssertionError('the stream ended before its entry was found')


async def test_a_stream_survives_a_killed_engine(deployment):
    killed = []

    def kill(tokens):
        killed.append(engine_of(tokens))
        deployment.kill(killed[0])

    await read(deployment, kill)
    deployment.start_engine(killed[0])
    deployment.wait_for_port(deployment.engine_ports[killed[0]])


async def test_a_stream_survives_a_frozen_engine(deployment):
    frozen = []

    def freeze(tokens):
        frozen.append(engine_of(tokens))
        deployment.kill(frozen[0], signal.SIGSTOP)

    await read(deployment, freeze)
    deployment.kill(frozen[0], signal.SIGCONT)


async def test_a_stream_survives_a_killed_entry(deployment):
    killed = []

    def kill(tokens):
        killed.append(serving_entry(deployment))
        deployment.kill(killed[0])

    await read(deployment, kill)
    deployment.start_entry(killed[0])
    deployment.wait_until_ready(killed)


async def test_a_stream_survives_a_frozen_entry(deployment):
    # Another entry takes over after the client's read timeout, and must fence
    # the frozen one, so that it adds no tokens after it resumes.
    frozen = []

    def freeze(tokens):
        frozen.append(serving_entry(deployment))
        deployment.kill(frozen[0], signal.SIGSTOP)

    await read(deployment, freeze)
    deployment.kill(frozen[0], signal.SIGCONT)
    deployment.wait_until_ready(frozen)


async def test_an_engine_and_its_entry_killed_together(deployment):
    killed = []

    def kill(tokens):
        killed.extend((serving_entry(deployment), engine_of(tokens)))
        for name in killed:
            deployment.kill(name)

    await read(deployment, kill, token_count=LONG_TOKEN_COUNT)
    deployment.start_entry(killed[0])
    deployment.start_engine(killed[1])
    deployment.wait_until_ready(killed[:1])


async def test_a_drained_entry_ends_its_streams_and_exits_with_0(deployment):
    drained = []

    def drain(tokens):
        drained.append(serving_entry(deployment))
        deployment.kill(drained[0], signal.SIGTERM)

    await read(deployment, drain)
    process = deployment.processes[drained[0]]
    assert await asyncio.to_thread(process.wait, 20) == 0
    deployment.start_entry(drained[0])
    deployment.wait_until_ready(drained)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
async def test_a_lost_control_leader_causes_no_double_booking(
    deployment, signal_number
):
    # Retries during the change of leader must not book a slot twice.
    leader = deployment.status()['control']['leader'].partition('.')[0]
    slots = [f'{signal_number.name}-{n}' for n in range(30)]
    async with caller_of(deployment) as caller:

        async def book(slot):
            answer = await caller.call(
                'booking', 'slots', method='POST', body={'slot': slot}
            )
            return answer.status

        tasks = [asyncio.ensure_future(book(slot)) for slot in slots[:10]]
        deployment.kill(leader, signal_number)
        tasks += [asyncio.ensure_future(book(slot)) for slot in slots[10:]]
        results = await asyncio.gather(*tasks, return_exceptions=True)
    if signal_number is signal.SIGSTOP:
        deployment.kill(leader, signal.SIGCONT)
    else:
        deployment.start_control(leader)
    booked = deployment.booking_counts()
    for slot, result in zip(slots, results, strict=True):
        runs = booked.get(slot, 0)
        assert runs <= 1
        if result == 200:
            assert runs == 1
        elif result.ran == 'no':
            assert runs == 0
    assert results.count(200) >= 20


async def test_accepted_edits_survive_the_loss_of_leaders(
    deployment, tmp_path
):
    # The control leader is killed before every third edit.
    path = tmp_path / 'table.csv'

    def push_all():
        for number in range(1, 7):
            if number % 3 == 0:
                status = deployment.status()['control']
                leader = status['leader'].partition('.')[0]
                deployment.kill(leader)
                deployment.start_control(leader)
            deployment.cli('table', 'pull', str(path))
            with path.open('a') as table:
                table.write(f'account{number},chat,{number},0,0,9,0,yes,\n')
            deployment.cli('table', 'push', '--wait', str(path))

    await asyncio.to_thread(push_all)
    table = deployment.cli('table', 'show')
    for number in range(1, 7):
        assert f'account{number},chat,{number},' in table


async def test_a_booking_refused_while_a_majority_was_frozen_is_closed(
    deployment,
):
    # A claim committed after its entry gave up must not leave retries without
    # an answer, nor may the booking then run twice.
    leader = deployment.status()['control']['leader'].partition('.')[0]
    followers = [name for name in deployment.control_ports if name != leader]
    for name in followers:
        deployment.kill(name, signal.SIGSTOP)
    key = str(uuid_utils.uuid7())
    status, error = await book_once(deployment, 0, key)
    assert (status, error['ran']) == (503, 'unknown')
    for name in followers:
        deployment.kill(name, signal.SIGCONT)
    ran = 'unknown'
    deadline = time.monotonic() + 15.0
    while ran == 'unknown' and time.monotonic() < deadline:
        await asyncio.sleep(0.5)
        status, error = await book_once(deployment, 1, key)
        ran = error['ran']
    # A claim that the freeze has lost lets the retry book.
    runs = deployment.booking_counts().get('frozen-majority', 0)
    assert (status, ran, runs) in ((409, 'no', 0), (200, 'yes', 1))


async def book_once(deployment, entry_number, key):
    """Send one booking, without retries; return its status and error."""
    url = f'http://{deployment.seeds[entry_number]}/v1/services/booking/slots'
    headers = {'Bulrushhold-Account': 'vendors', 'Idempotency-Key': key}
    async with aiohttp.ClientSession() as session:
        async with session.post(
            url, json={'slot': 'frozen-majority'}, headers=headers
        ) as response:
            answer = await response.json()
            return response.status, answer.get('error', {'ran': 'yes'})
