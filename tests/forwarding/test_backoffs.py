"""Tests of backend servers that want no requests for a time."""

from bulrushhold import calls
from bulrushhold import routes
from tests.forwarding import fakes


def turned_away(seconds):
    return fakes.Script(
        status=503, not_run=True, backoff=calls.Backoff(seconds)
    )


async def send_one(context, **options):
    return await fakes.run_plain(context, routes.Kind.IDEMPOTENT, **options)


def keep_servers(context, *idents):
    backends = context.placement.backends
    context.placement.services['engines'] = [backends[i] for i in idents]


async def test_a_backoff_is_logged_once_as_it_begins(
    client, context, log_records
):
    client.scripts = [turned_away(3.0), fakes.Script()]
    await send_one(context)
    lines = [
        line['seconds']
        for line in log_records
        if line.get('decision') == 'server backoff'
    ]
    assert lines == [3.0]


async def test_a_malformed_backoff_is_logged_once_and_changes_nothing(
    client, context, log_records
):
    keep_servers(context, 'i0')
    client.scripts = [turned_away(None), turned_away(None), fakes.Script()]
    assert (await send_one(context)).status == 200
    assert not context.placement.backoffs.ends_at
    lines = [line.get('decision') for line in log_records]
    assert lines.count('malformed server backoff') == 1
