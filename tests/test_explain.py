"""Tests of the ``explain`` command."""

from click import testing
import pytest

from bulrushhold import cli

LINES = [
    '  5.2 entry-2 {"time": "T2", "message": "refused", "process": "e2", '
    '"request": "r-1", "status": 503, "reason": "no engine"}',
    'not a log line { at all',
    '{"time": "T1", "message": "stream placed", "process": "e2", '
    '"request": "r-1", "engine": "i-7"}',
    '{"time": "T1", "message": "stream placed", "request": "r-2"}',
]


@pytest.fixture
def log_path(tmp_path):
    path = tmp_path / 'entry.log'
    path.write_text('\n'.join(LINES))
    return str(path)


def run_explain(*args):
    return testing.CliRunner().invoke(cli.main, ['explain', *args])


def test_lines_of_one_request_are_printed_in_time_order(log_path):
    result = run_explain('r-1', log_path)
    assert result.exit_code == 0
    assert result.output.splitlines() == [
        'T1 e2 stream placed: engine=i-7',
        'T2 e2 refused: status=503 reason=no engine',
    ]


def test_unknown_request_or_unreadable_file_fails_with_one_line(log_path):
    for args in (('r-9', log_path), ('r-1', log_path + '.gone')):
        result = run_explain(*args)
        assert result.exit_code == 1
        assert len(result.output.splitlines()) == 1
