"""Command line: runs the daemons and the operator commands."""

import asyncio
import json
import os
import pathlib
import sys
import time
import typing as t

import click

import bulrushhold
from bulrushhold import composition
from bulrushhold import errors
from bulrushhold import settings

REQUEST_TIMEOUT_S: t.Final = 15.0
POLL_INTERVAL_S: t.Final = 0.5
# Far more than the table of all client accounts.
MAX_ANSWER_BYTES: t.Final = 64 << 20
_FILE_PATH = click.Path(dir_okay=False)


class _ErrorHandlingGroup(click.Group):
    """Prints expected errors on one line and exits with status 1."""

    def invoke(self, ctx: click.Context) -> t.Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except errors.BulrushholdError as error:
            click.echo(f'bulrushhold: {error}', err=True)
            sys.exit(1)


@click.group(cls=_ErrorHandlingGroup)
@click.version_option(bulrushhold.__version__, prog_name='bulrushhold')
def main() -> None:
    """Serve long generations on engines that may fail."""


def _settings_option(function: t.Any) -> t.Any:
    return click.option(
        '--settings',
        'path',
        required=True,
        type=_FILE_PATH,
        help='Settings file.',
    )(function)


def _log_level_option(function: t.Any) -> t.Any:
    return click.option(
        '--log-level', default='INFO', help='Minimum level to log.'
    )(function)


@main.command('entry')
@_settings_option
@_log_level_option
def run_entry(path: str, log_level: str) -> None:
    """Run an entry process."""
    composition.ignore_hangup()
    from bulrushhold import node

    config = settings.load(path, settings.Entry)
    log_writer = node.configure_logs(log_level, config.name)
    asyncio.run(composition.run_entry(config))
    log_writer.close()


@main.command('control')
@_settings_option
@_log_level_option
def run_control(path: str, log_level: str) -> None:
    """Run a control process."""
    composition.ignore_hangup()
    from bulrushhold import node

    config = settings.load(path, settings.Control)
    log_writer = node.configure_logs(log_level, config.name)
    pathlib.Path(config.data_dir).mkdir(parents=True, exist_ok=True)
    asyncio.run(composition.run_control(config))
    log_writer.close()


@main.command('control-found')
@_settings_option
def bootstrap_control(path: str) -> None:
    """Bootstrap a new log, once on each initial control instance.

    Don't run it on an instance that lost its disk: with an empty data
    folder, that instance joins the existing log.
    """
    from bulrushhold import control
    from bulrushhold import node

    config = settings.load(path, settings.Control)
    click.echo(control.bootstrap(config, node.FileLog(config.data_dir)))


@main.group('settings')
def settings_group() -> None:
    """Work with settings files."""


@settings_group.command('check')
@click.argument('path', type=_FILE_PATH)
def check_settings(path: str) -> None:
    """Validate a settings file of either daemon."""
    config = settings.load_any(path)
    click.echo(f'{path}: valid settings of {config.name}')


def _entry_option(function: t.Any) -> t.Any:
    return click.option(
        '--entry',
        'address',
        required=True,
        envvar='BULRUSHHOLD_ENTRY',
        help='Address of any entry, as 10.0.0.1:8080.',
    )(function)


def _key_option(function: t.Any) -> t.Any:
    return click.option(
        '--key-file',
        required=True,
        envvar='BULRUSHHOLD_KEY_FILE',
        type=_FILE_PATH,
        help='File with the operator key.',
    )(function)


@main.group('table')
def table_group() -> None:
    """Read and edit the table of client accounts."""


@table_group.command('pull')
@_entry_option
@_key_option
@click.argument('path', type=_FILE_PATH)
def pull(address: str, key_file: str, path: str) -> None:
    """Write the table to a CSV file for editing."""
    _, body = _send_request('GET', address, '/v1/table', key_file)
    pathlib.Path(path).write_bytes(body)


@table_group.command('show')
@_entry_option
@_key_option
def show(address: str, key_file: str) -> None:
    """Print the table."""
    _, body = _send_request('GET', address, '/v1/table', key_file)
    click.echo(body.decode(), nl=False)


@table_group.command('history')
@_entry_option
@_key_option
def history(address: str, key_file: str) -> None:
    """Print recent edits, newest first."""
    _, body = _send_request('GET', address, '/v1/table/history', key_file)
    for item in json.loads(body):
        edited_at = time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(item['at']))
        click.echo(f'{item["revision"]} {edited_at} {item["author"]}')
        for change in item['changes']:
            click.echo(f'    {change}')


@table_group.command('push')
@_entry_option
@_key_option
@click.option(
    '--edit-id', default='', help='Idempotency key, to retry a push.'
)
@click.option('--author', default=lambda: os.environ.get('USER', ''))
@click.option(
    '--wait', is_flag=True, help='Wait until all instances apply it.'
)
@click.option('--wait-s', default=30.0, help='Maximum wait in seconds.')
@click.argument('path', type=_FILE_PATH)
def push(
    address: str,
    key_file: str,
    edit_id: str,
    author: str,
    wait: bool,
    wait_s: float,
    path: str,
) -> None:
    """Push an edited CSV file; all changes apply, or none."""
    import uuid_utils

    edit_id = edit_id or str(uuid_utils.uuid7())
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.BulrushholdError(
            error.strerror or 'unreadable', 'push', path
        ) from error
    target = f'/v1/table?edit={edit_id}&author={author}'
    click.echo(f'edit {edit_id}')
    status, body = _send_request('POST', address, target, key_file, text)
    outcome = json.loads(body)
    if not outcome.get('accepted'):
        _print_rejection(status, outcome)
        sys.exit(1)
    revision = outcome['revision']
    click.echo(f'accepted: revision {revision}, {outcome["changed"]} rows')
    if wait:
        _wait_until_applied(address, revision, wait_s)


def _print_rejection(status: int, outcome: dict[str, t.Any]) -> None:
    reason = outcome.get('reason') or outcome.get('error', {}).get('reason')
    click.echo(f'refused: {reason or status}', err=True)
    for cell in outcome.get('cells', ()):
        click.echo(f'    {cell}', err=True)
    for conflict in outcome.get('conflicts', ()):
        click.echo(
            f'    {conflict["row"]}, {conflict["column"]}: accepted '
            f'{conflict["accepted"]}, yours {conflict["refused"]}',
            err=True,
        )


def _wait_until_applied(address: str, revision: int, wait_s: float) -> None:
    deadline = time.monotonic() + wait_s
    while True:
        _, body = _send_request('GET', address, '/v1/status')
        status = json.loads(body)
        applied = status['control'].get('in_force', {})
        pending = sorted(
            name
            for name in status['entries']
            if applied.get(name, (0, 0))[0] < revision
        )
        if not pending:
            click.echo(f'in force on {len(status["entries"])} instances')
            return
        if time.monotonic() > deadline:
            raise errors.BulrushholdError(
                f'not in force on: {", ".join(pending)}', 'push', address
            )
        time.sleep(POLL_INTERVAL_S)


@main.command('status')
@_entry_option
def show_status(address: str) -> None:
    """Print the status of an entry and of control as JSON."""
    _, body = _send_request('GET', address, '/v1/status')
    click.echo(json.dumps(json.loads(body), indent=2))


@main.group('quarantine')
def quarantine_group() -> None:
    """Show and lift the quarantine of poison requests."""


@quarantine_group.command('show')
@_entry_option
def show_quarantine(address: str) -> None:
    """Print the quarantined fingerprints."""
    _, body = _send_request('GET', address, '/v1/status')
    for fingerprint in json.loads(body)['quarantined']:
        click.echo(fingerprint)


@quarantine_group.command('lift')
@_entry_option
@_key_option
@click.argument('fingerprint')
def lift_quarantine(address: str, key_file: str, fingerprint: str) -> None:
    """Allow a quarantined request to run again."""
    _send_request('DELETE', address, f'/v1/quarantine/{fingerprint}', key_file)


@main.command('explain')
@click.argument('request_id')
@click.argument('files', nargs=-1, required=True, type=_FILE_PATH)
def explain(request_id: str, files: tuple[str, ...]) -> None:
    """Print the log records of one request from FILES, in time order.

    FILES hold JSON lines of any number of processes. Text before the
    JSON object of a line is ignored.
    """
    matching = [
        line
        for path in files
        for line in _read_log_lines(path)
        if line.get('request') == request_id
    ]
    if not matching:
        raise errors.BulrushholdError(
            f'no log record of request {request_id}',
            'explain',
            ', '.join(files),
        )
    for line in sorted(matching, key=lambda line: str(line.get('time'))):
        click.echo(_format_log_line(line))


def _read_log_lines(path: str) -> t.Iterator[dict[str, t.Any]]:
    try:
        with open(path, encoding='utf-8', errors='replace') as file:
            for text in file:
                try:
                    line = json.loads(text[text.index('{') :])
                except ValueError:
                    # Not a log record, or a truncated one.
                    continue
                if isinstance(line, dict):
                    yield line
    except OSError as error:
        raise errors.BulrushholdError(
            error.strerror or 'unreadable', 'explain', path
        ) from error


def _format_log_line(line: dict[str, t.Any]) -> str:
    shown = ('time', 'process', 'message')
    hidden = {*shown, 'level', 'decision', 'request'}
    head = ' '.join(str(line.get(name, '')) for name in shown)
    fields = (f'{k}={v}' for k, v in line.items() if k not in hidden)
    return f'{head}: {" ".join(fields)}'


def _send_request(
    method: str,
    address: str,
    path: str,
    key_file: str = '',
    body: bytes | None = None,
) -> tuple[int, bytes]:
    """Send one request to an entry; raise on HTTP errors except for POST."""
    # Imported here because the daemons share this module and don't use it.
    import aiohttp

    headers = {}
    if key_file:
        headers['Authorization'] = f'Bearer {settings.read_key(key_file)}'
    url = f'http://{address}{path}'
    try:
        status, content = asyncio.run(_exchange(method, url, headers, body))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise errors.BulrushholdError(
            str(error) or type(error).__name__, path, address
        ) from error
    if status >= 400 and method != 'POST':
        raise errors.BulrushholdError(
            _error_reason(content) or f'status {status}', path, address
        )
    return status, content


async def _exchange(
    method: str, url: str, headers: dict[str, str], body: bytes | None
) -> tuple[int, bytes]:
    import aiohttp

    from bulrushhold import web

    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        web.make_session() as session,
        session.request(
            method, url, data=body, headers=headers, timeout=timeout
        ) as response,
    ):
        return response.status, await web.read_whole(
            response, MAX_ANSWER_BYTES
        )


def _error_reason(content: bytes) -> str:
    try:
        return str(json.loads(content)['error']['reason'])
    except (ValueError, LookupError, TypeError):
        return ''
