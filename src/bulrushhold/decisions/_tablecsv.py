"""CSV format of the table for spreadsheets.

Every row carries the revision at which the table was pulled. A push is
merged against that revision.
"""

import csv
import io
import math
import typing as t

from bulrushhold.decisions import _table
from bulrushhold import errors
from bulrushhold import messages

REVISION_COLUMN: t.Final = 'revision'
_TRUE: t.Final = ('yes', 'true', '1', 'x')
_FALSE: t.Final = ('no', 'false', '0', '')
_NAME_CHARACTERS: t.Final = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./'
)


def write(rows: list[messages.Row], revision: int) -> str:
    """Return the rows as CSV text with a header line."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow([*_table.COLUMNS, REVISION_COLUMN])
    for row in rows:
        cells = [_format(getattr(row, name)) for name in _table.COLUMNS]
        writer.writerow([*cells, revision])
    return out.getvalue()


def read(text: str) -> tuple[list[messages.Row], int]:
    """Parse CSV text into rows and the revision it was pulled at.

    Accepts commas, semicolons or tabs as delimiters, and a byte order mark.

    :raises ExceptionGroup: of one :class:`~bulrushhold.errors.CellError` for
        each invalid cell.
    """
    lines = text.removeprefix('\ufeff').splitlines()
    if not lines:
        raise _error_group([_cell_error(1, '', 'the file is empty')])
    delimiter = max(',;\t', key=lines[0].count)
    parsed = list(csv.reader(lines, delimiter=delimiter))
    header = [name.strip().lower() for name in parsed[0]]
    _check_header(header)
    problems: list[errors.CellError] = []
    rows: list[messages.Row] = []
    revisions: set[int] = set()
    for number, line in enumerate(parsed[1:], start=2):
        if not any(cell.strip() for cell in line):
            continue
        values = dict(zip(header, line, strict=False))
        row = _read_row(number, values, problems)
        revision = _read_revision(number, values, problems)
        if revision is not None:
            revisions.add(revision)
        if row is not None:
            rows.append(row)
    problems += _check_rows(rows, revisions)
    if problems:
        raise _error_group(problems)
    return rows, max(revisions, default=0)


def _check_header(header: list[str]) -> None:
    expected = [*_table.COLUMNS, REVISION_COLUMN]
    problems = [
        _cell_error(1, name, 'column is missing')
        for name in expected
        if name not in header
    ]
    problems += [
        _cell_error(1, name, 'unknown column')
        for name in header
        if name and name not in expected
    ]
    if len(set(header)) < len(header):
        problems.append(_cell_error(1, '', 'duplicate column'))
    if problems:
        raise _error_group(problems)


def _check_rows(
    rows: list[messages.Row], revisions: set[int]
) -> list[errors.CellError]:
    problems = []
    keys: set[str] = set()
    for row in rows:
        if row.key in keys:
            problems.append(
                errors.CellError('duplicate row', f'row {row.key}')
            )
        keys.add(row.key)
    if len(revisions) > 1:
        problems.append(
            errors.CellError(
                f'rows come from several pulls: {sorted(revisions)}',
                f'column {REVISION_COLUMN}',
            )
        )
    return problems


def _read_row(
    number: int, values: dict[str, str], problems: list[errors.CellError]
) -> messages.Row | None:
    fields: dict[str, t.Any] = {}
    problems_before = len(problems)
    for name in _table.COLUMNS:
        text = values.get(name, '').strip()
        try:
            fields[name] = _PARSERS[name](text)
        except ValueError as error:
            problems.append(_cell_error(number, name, f'{error}: {text!r}'))
    return messages.Row(**fields) if len(problems) == problems_before else None


def _read_revision(
    number: int, values: dict[str, str], problems: list[errors.CellError]
) -> int | None:
    text = values.get(REVISION_COLUMN, '').strip()
    if not text:
        return None
    try:
        return int(_parse_integer(text))
    except ValueError as error:
        problems.append(
            _cell_error(number, REVISION_COLUMN, f'{error}: {text!r}')
        )
        return None


def _parse_name(text: str) -> str:
    if not text or len(text) > 64 or not set(text) <= _NAME_CHARACTERS:
        raise ValueError('needs 1 to 64 of letters, digits and -_./')
    return text


def _parse_account(text: str) -> str:
    if '/' in text:
        raise ValueError('an account must not contain /')
    return _parse_name(text)


def _parse_number(text: str, minimum: float) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError('needs a number') from None
    if not math.isfinite(value) or value < minimum or value > 1e12:
        raise ValueError(f'needs a number from {minimum:g} to 1e12')
    return value


def _parse_positive(text: str) -> float:
    return _parse_number(text, 0.001)


def _parse_rate(text: str) -> float:
    return _parse_number(text, 0)


def _parse_integer(text: str) -> int:
    value = _parse_number(text, 0)
    if value != int(value):
        raise ValueError('needs a whole number')
    return int(value)


def _parse_flag(text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise ValueError('needs yes or no')


_PARSERS: t.Final[dict[str, t.Any]] = {
    'account': _parse_account,
    'work': _parse_name,
    'weight': _parse_positive,
    'token_rate': _parse_rate,
    'concurrency': _parse_integer,
    'deadline_s': _parse_positive,
    'priority': _parse_integer,
    'idempotent': _parse_flag,
}


def _format(value: t.Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.12g}'
    return str(value)


def _cell_error(number: int, column: str, reason: str) -> errors.CellError:
    where = f'row {number}'
    if column:
        where += f', column {column}'
    return errors.CellError(reason, where)


def _error_group(
    problems: list[errors.CellError],
) -> 'ExceptionGroup[errors.CellError]':
    return ExceptionGroup('the table has invalid cells', problems)
