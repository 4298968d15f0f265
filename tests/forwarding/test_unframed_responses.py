"""Tests of responses that end with the connections of their servers."""

import pytest

from bulrushhold import routes
from tests.forwarding import fakes


@pytest.mark.parametrize('framed', [False, True])
async def test_a_stream_has_a_frame_if_its_engine_gave_it_one(
    client, context, framed
):
    # Guards against a stream whose end the entry claims and can't know.
    client.scripts = [fakes.Script(events=(1, 2), framed=framed)]
    caller, reply = await fakes.run_stream(context)
    assert reply is None and caller.ended and not caller.aborted
    assert caller.data == fakes.encode_events(1, 2)
    assert caller.framed == framed


async def test_a_stream_without_events_gets_no_frame(client, context):
    # Guards against an empty stream that looks whole.
    client.scripts = [fakes.Script(framed=False)]
    caller, _ = await fakes.run_stream(context)
    assert caller.ended and not caller.framed


@pytest.mark.parametrize('first_framed', [False, True])
async def test_a_resumed_stream_is_completed_only_if_its_end_is_known(
    client, context, first_framed, log_records
):
    # Guards against a last chunk that marks an end which nobody knows.
    client.scripts = [
        fakes.Script(events=(1, 2), then='half', framed=first_framed),
        fakes.Script(events=(3,), framed=not first_framed),
    ]
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert caller.framed == first_framed
    assert caller.aborted == first_framed
    assert caller.ended == (not first_framed)
    outcome = 'stream end unknown' if first_framed else 'stream whole'
    assert log_records[-1]['decision'] == outcome


@pytest.mark.parametrize('status', [404, 500])
@pytest.mark.parametrize('framed', [False, True])
async def test_a_reply_has_a_frame_if_its_server_gave_it_one(
    client, context, framed, status
):
    # Guards against a failure whose end the entry claims and can't know.
    script = fakes.Script(status=status, framed=framed)
    client.scripts = [script] * 5
    _, reply = await fakes.run_stream(context)
    assert reply.framed == framed
    client.scripts = [script]
    reply = await fakes.run_plain(context, routes.Kind.ONCE)
    assert reply.framed == framed
