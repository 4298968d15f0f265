"""Tests of request limits that backend servers name in their responses."""

from bulrushhold import calls
from bulrushhold import routes
from tests.forwarding import fakes


def limited_script(per_s):
    return fakes.Script(limit=calls.RequestLimit(per_s))


async def send_one(context):
    return await fakes.run_plain(context, routes.Kind.IDEMPOTENT)


def limit_lines(log_records):
    return [
        (line['per_s'], line['previous_per_s'])
        for line in log_records
        if line.get('decision') == 'server limit'
    ]


async def test_a_limit_is_logged_as_it_begins_changes_and_ends(
    client, context, log_records
):
    keep_only_server(context)
    client.scripts = [
        limited_script(50.0),
        limited_script(50.0),
        limited_script(25.0),
        fakes.Script(),
        fakes.Script(),
    ]
    for _ in range(5):
        await send_one(context)
    assert limit_lines(log_records) == [
        (50.0, None),
        (25.0, 50.0),
        (None, 25.0),
    ]


async def test_a_malformed_limit_is_logged_once_and_changes_nothing(
    client, context, log_records
):
    keep_only_server(context)
    client.scripts = [limited_script(None)] * 3
    for _ in range(3):
        await send_one(context)
    assert context.placement.limits.current('i0') is None
    lines = [line.get('decision') for line in log_records]
    assert lines.count('malformed server limit') == 1


def keep_only_server(context):
    backend = context.placement.backends['i0']
    context.placement.services['engines'] = [backend]
