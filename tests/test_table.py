"""Table edits: conflicts, resends, CSV parsing and loss of control."""

import random

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import messages
from tests import conftest


def edit(name, base, rows):
    """Return the arguments of an edit that pushes these rows."""
    return (name, base, rows)


class Table(decisions.TableState):
    def apply(self, pushed):
        name, base, rows = pushed
        changed, removed = decisions.difference(self.rows(base), rows)
        return super().apply(
            messages.TableEdit(name, base, 'operator', 0.0, changed, removed)
        )


@pytest.fixture
def table():
    state = Table()
    rows = [conftest.row(), conftest.row('planners')]
    assert state.apply(edit('first', 0, rows)).accepted
    return state


def change(table, account, **cells):
    return [
        attrs.evolve(row, **cells) if row.account == account else row
        for row in table.rows()
    ]


def row_of(table, account):
    return next(row for row in table.rows() if row.account == account)


def test_resent_edit_gets_its_first_outcome(table):
    rows = change(table, 'vendors', weight=2.0)
    first = table.apply(edit('e', 1, rows))
    table.apply(edit('f', 2, change(table, 'vendors', weight=3.0)))
    assert table.apply(edit('e', 1, rows)) == first
    assert row_of(table, 'vendors').weight == 3.0


def test_concurrent_edits_of_one_cell_conflict(table):
    own_rows = change(table, 'vendors', weight=2.0)
    other_rows = change(table, 'vendors', weight=3.0)
    assert table.apply(edit('theirs', 1, other_rows)).accepted
    outcome = table.apply(edit('mine', 1, own_rows))
    assert not outcome.accepted
    assert outcome.conflicts == [
        messages.Conflict('vendors/chat', 'weight', '3.0', '2.0')
    ]
    assert row_of(table, 'vendors').weight == 3.0


def test_edits_of_different_cells_are_merged(table):
    own_rows = change(table, 'vendors', weight=2.0)
    other_rows = change(table, 'vendors', concurrency=9)
    third_rows = change(table, 'planners', weight=5.0)
    for number, rows in enumerate((own_rows, other_rows, third_rows)):
        assert table.apply(edit(f'e{number}', 1, rows)).accepted
    row = row_of(table, 'vendors')
    assert (row.weight, row.concurrency) == (2.0, 9)
    assert row_of(table, 'planners').weight == 5.0


def test_stale_pull_does_not_revert_other_edits(table):
    # Guards against a push that reverts rows changed since the pull.
    stale_rows = change(table, 'planners', weight=5.0)
    table.apply(edit('theirs', 1, change(table, 'vendors', weight=3.0)))
    assert table.apply(edit('mine', 1, stale_rows)).accepted
    assert row_of(table, 'vendors').weight == 3.0


def test_removal_keeps_rows_added_since_the_pull(table):
    pulled = table.rows()
    added = [*pulled, conftest.row('bakers')]
    assert table.apply(edit('add', 1, added)).accepted
    assert table.apply(edit('remove', 1, pulled[:1])).accepted
    accounts = [row.account for row in table.rows()]
    assert accounts == ['bakers', pulled[0].account]


def test_removing_a_changed_row_conflicts(table):
    pulled = table.rows()
    table.apply(edit('theirs', 1, change(table, 'vendors', weight=3.0)))
    outcome = table.apply(edit('mine', 1, pulled[:1]))
    assert [c.row for c in outcome.conflicts] == ['vendors/chat']


def test_edit_with_a_future_base_is_rejected(table):
    assert not table.apply(edit('e', 9, table.rows())).accepted


def test_changes_since_lists_set_and_removed_rows(table):
    table.apply(edit('e', 1, [attrs.evolve(table.rows()[0], weight=7.0)]))
    rows, removed = table.changes_since(1)
    assert [row.weight for row in rows] == [7.0]
    assert removed == ['vendors/chat']


class CountedRows(dict):
    """Counts the rows that are looked at."""

    count = 0

    def __getitem__(self, key):
        self.count += 1
        return super().__getitem__(key)

    def get(self, key, default=None):
        self.count += 1
        return super().get(key, default)

    def values(self):
        self.count += len(self)
        return super().values()


def table_edit(number, table, keys):
    rows = [
        attrs.evolve(table.versions[key][-1].row, weight=number + 1.0)
        for key in keys
    ]
    return messages.TableEdit(f'e{number}', table.revision, 'o', 0.0, rows, [])


@pytest.fixture
def long_history(monkeypatch):
    monkeypatch.setattr(decisions._table, 'MAX_HISTORY_ITEMS', 5)


def test_edits_beyond_a_full_history_look_at_their_rows_only(long_history):
    # Guards against a replay of the log that takes edits times rows.
    table = decisions.TableState()
    rows = [conftest.row(f'a{n}') for n in range(1000)]
    table.apply(messages.TableEdit('first', 0, 'o', 0.0, rows, []))
    table.versions = CountedRows(table.versions)
    for number in range(1, 11):
        pushed = table_edit(number, table, ['a7/chat'])
        assert table.apply(pushed).accepted
    # The first revision changed all rows.
    assert table.versions.count <= 1000 + 10 * 10
    assert table.floor == 6
    assert [v.revision for v in table.versions['a7/chat']] == [*range(6, 12)]


def test_versions_are_kept_for_the_base_revisions_that_are_left(long_history):
    rng = random.Random(86)
    table = decisions.TableState()
    rows = [conftest.row(f'a{n}') for n in range(8)]
    table.apply(messages.TableEdit('first', 0, 'o', 0.0, rows, []))
    pulled = {1: table.rows()}
    for number in range(60):
        keys = rng.sample([row.key for row in rows], rng.randint(1, 3))
        table.apply(table_edit(number, table, keys))
        pulled[table.revision] = table.rows()
        for revision in range(table.floor, table.revision + 1):
            assert not revision or table.rows(revision) == pulled[revision]
        for versions in table.versions.values():
            assert len(versions) == 1 or versions[1].revision > table.floor


def test_snapshot_round_trip(table):
    plain = decisions.TableState(
        table.revision,
        table.floor,
        table.versions,
        table.changed,
        table.outcomes,
        table.history,
    )
    state = decisions.ReplicatedState(table=plain)
    restored = decisions.ReplicatedState.restore(state.dump())
    assert restored == state


def test_csv_round_trip(table):
    text = decisions.write_csv(table.rows(), table.revision)
    assert decisions.read_csv(text) == (table.rows(), 1)
    # Spreadsheets may use semicolons, CRLF and a byte order mark.
    saved = '\ufeff' + text.replace(',', ';').replace('\n', '\r\n')
    assert decisions.read_csv(saved) == (table.rows(), 1)


HEADER = (
    'account,work,weight,token_rate,concurrency,deadline_s,priority,'
    'idempotent,revision\n'
)

INVALID_CELLS = [
    ('vendors,chat,0,0,0,9,0,yes,1\n', 'row 2, column weight'),
    ('vendors,chat,x,0,0,9,0,yes,1\n', "needs a number: 'x'"),
    ('vendors,chat,nan,0,0,9,0,yes,1\n', 'column weight'),
    ('vendors,chat,1,0,1.5,9,0,yes,1\n', 'needs a whole number'),
    ('vendors,chat,1,0,0,9,0,maybe,1\n', 'needs yes or no'),
    ('a/b,chat,1,0,0,9,0,yes,1\n', 'row 2, column account'),
    (',chat,1,0,0,9,0,yes,1\n', 'row 2, column account'),
    ('a,chat,1,0,0,9,0,yes,1\na,chat,2,0,0,9,0,yes,1\n', 'row a/chat'),
    ('a,chat,1,0,0,9,0,yes,1\nb,chat,2,0,0,9,0,yes,2\n', 'several pulls'),
    ('a,chat,1,0,0,9,0,yes,x\n', 'row 2, column revision'),
]


@pytest.mark.parametrize(('lines', 'reason'), INVALID_CELLS)
def test_invalid_cell_is_reported(lines, reason):
    with pytest.raises(ExceptionGroup) as caught:
        decisions.read_csv(HEADER + lines)
    assert reason in ' '.join(map(str, caught.value.exceptions))


def test_all_invalid_cells_are_reported():
    with pytest.raises(ExceptionGroup) as caught:
        decisions.read_csv(HEADER + ',chat,x,0,0,9,0,yes,1\n')
    assert len(caught.value.exceptions) == 2


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('', 'the file is empty'),
        ('account,work\n', 'column weight: column is missing'),
        (HEADER.replace('weight', 'weight,size'), 'unknown column'),
    ],
)
def test_invalid_header_is_reported(text, reason):
    with pytest.raises(ExceptionGroup) as caught:
        decisions.read_csv(text)
    assert reason in ' '.join(map(str, caught.value.exceptions))


async def test_invalid_push_changes_nothing(system):
    status, _, answer = await system.post(
        '/v1/table?edit=e1',
        HEADER + 'vendors,chat,0,0,0,9,0,yes,1\n',
        Authorization=f'Bearer {conftest.OPERATOR_KEY}',
    )
    assert status == 422
    assert answer['cells'] == [
        'row 2, column weight: needs a number from 0.001 to 1e12: \'0\''
    ]
    assert system.control.state.table.revision == 1


@pytest.mark.parametrize('key', ['', 'Bearer wrong', 'Bearer '])
async def test_push_requires_the_operator_key(system, key):
    status, _, answer = await system.post(
        '/v1/table?edit=e1', HEADER, Authorization=key
    )
    assert (status, answer['error']['ran']) == (403, 'no')


async def test_entry_ignores_an_older_table(system):
    # A lagging replica may reply with an older table.
    table = system.entries['e1'].table
    old = messages.TableReply('done', revision=0, whole=True)
    table.apply(old, 0.0)
    assert table.revision == 1
    assert table.rows


async def test_entry_without_control_refuses_requests(make_system):
    # Guards against enforcing outdated limits after the table's lease
    # expired. The error must state that the request wasn't executed.
    system = await make_system(options={'table_lease_s': 0.1})
    await system.stop_control()
    entry = system.entries['e1']
    await conftest.wait_until(lambda: not entry.table.in_force())
    status, _, answer = await system.post(
        '/v1/chat/completions',
        '{"model": "small", "messages": [{"role": "user"}]}',
        Bulrushhold_Account='vendors',
    )
    assert (status, answer['error']['ran']) == (503, 'no')
    assert answer['error']['step'] == 'admission'


async def test_stale_table_may_be_served_by_setting(make_system):
    system = await make_system(
        options={'table_lease_s': 0.01, 'when_table_stale': 'serve'}
    )
    await system.stop_control()
    status, _, _ = await system.post(
        '/v1/chat/completions',
        '{"model": "small", "messages": [{"role": "user"}], "max_tokens": 2}',
        Bulrushhold_Account='vendors',
    )
    assert status == 200
