"""The operators' table of limits: rows, revisions and edit history."""

import typing as t

import attrs

from bulrushhold import messages

COLUMNS: t.Final = tuple(field.name for field in attrs.fields(messages.Row))
KEY_COLUMNS: t.Final = ('account', 'work')
VALUE_COLUMNS: t.Final = tuple(
    name for name in COLUMNS if name not in KEY_COLUMNS
)
MAX_HISTORY_ITEMS: t.Final = 20_000
MAX_EDIT_IDS: t.Final = 20_000


@attrs.define
class Version:
    """A row as of a revision; ``row`` is ``None`` if it was removed."""

    revision: int
    row: messages.Row | None


@attrs.define
class TableState:
    """Table with the row versions that three-way merges need.

    :param versions: versions of each row by key, oldest first.
    :param changed: revisions with the keys they changed, oldest first; makes
        the poll of an up-to-date entry cheap.
    :param outcomes: edit id to its first outcome, oldest first.
    :param floor: oldest revision that an edit may be based on.
    """

    revision: int = 0
    floor: int = 0
    versions: dict[str, list[Version]] = attrs.field(factory=dict)
    changed: list[tuple[int, list[str]]] = attrs.field(factory=list)
    outcomes: dict[str, messages.EditOutcome] = attrs.field(factory=dict)
    history: list[messages.HistoryItem] = attrs.field(factory=list)

    def rows(self, revision: int | None = None) -> list[messages.Row]:
        """Return the rows sorted by key, current or as of a revision."""
        if revision is None:
            revision = self.revision
        candidates = (self._row_at(key, revision) for key in self.versions)
        return sorted(
            (row for row in candidates if row is not None),
            key=lambda row: row.key,
        )

    def has_revision(self, revision: int) -> bool:
        """Whether an edit may be based on a revision."""
        return self.floor <= revision <= self.revision

    def changes_since(
        self, known_revision: int
    ) -> tuple[list[messages.Row], list[str]]:
        """Return the rows set and keys removed after ``known_revision``."""
        keys: dict[str, None] = {}
        for revision, changed in reversed(self.changed):
            if revision <= known_revision:
                break
            keys |= dict.fromkeys(changed)
        if known_revision < self.floor:
            keys = dict.fromkeys(self.versions)
        rows = []
        removed = []
        for key in keys:
            last = self.versions[key][-1]
            if last.row is None:
                removed.append(key)
            else:
                rows.append(last.row)
        return rows, removed

    def apply(self, edit: messages.TableEdit) -> messages.EditOutcome:
        """Apply or reject an edit; a resent edit gets its first outcome."""
        first = self.outcomes.get(edit.edit_id)
        if first is not None:
            return first
        outcome = self._apply_new(edit)
        self.outcomes[edit.edit_id] = outcome
        while len(self.outcomes) > MAX_EDIT_IDS:
            del self.outcomes[next(iter(self.outcomes))]
        return outcome

    def _apply_new(self, edit: messages.TableEdit) -> messages.EditOutcome:
        if not self.has_revision(edit.base):
            return messages.EditOutcome(
                False,
                self.revision,
                reason=f'revision {edit.base} is unknown or too old; '
                'pull the table again',
            )
        requested: dict[str, messages.Row | None] = dict.fromkeys(edit.removed)
        requested |= {row.key: row for row in edit.rows}
        changed: dict[str, messages.Row | None] = {}
        conflicts: list[messages.Conflict] = []
        for key in sorted(requested):
            merged, row_conflicts = self._merge(key, requested[key], edit.base)
            conflicts += row_conflicts
            if merged != self._row_at(key, self.revision):
                changed[key] = merged
        if conflicts:
            return messages.EditOutcome(
                False,
                self.revision,
                reason='changed by someone else since it was pulled',
                conflicts=conflicts,
            )
        if changed:
            self._commit(edit, changed)
        return messages.EditOutcome(True, self.revision, len(changed))

    def _merge(
        self, key: str, requested: messages.Row | None, base: int
    ) -> tuple[messages.Row | None, list[messages.Conflict]]:
        """Merge one row with the changes made since revision ``base``.

        Comparing with the row as of ``base`` keeps cells that the operator
        didn't edit from reverting other operators' changes.
        """
        before = self._row_at(key, base)
        current = self._row_at(key, self.revision)
        if requested == before or requested == current:
            return current, []
        if before == current:
            return requested, []
        if requested is None or current is None or before is None:
            return current, [
                messages.Conflict(
                    key, 'row', _format_row(current), _format_row(requested)
                )
            ]
        cells: dict[str, t.Any] = {}
        conflicts = []
        for name in VALUE_COLUMNS:
            old, mine, theirs = (
                getattr(row, name) for row in (before, requested, current)
            )
            if mine not in (old, theirs):
                cells[name] = mine
                if theirs != old:
                    conflicts.append(
                        messages.Conflict(key, name, str(theirs), str(mine))
                    )
        return attrs.evolve(current, **cells), conflicts

    def _commit(
        self,
        edit: messages.TableEdit,
        changed: dict[str, messages.Row | None],
    ) -> None:
        self.revision += 1
        changes = []
        for key, row in changed.items():
            changes.append(
                _describe_change(key, self._row_at(key, self.revision), row)
            )
            versions = self.versions.setdefault(key, [])
            versions.append(Version(self.revision, row))
        self.changed.append((self.revision, list(changed)))
        self.history.append(
            messages.HistoryItem(self.revision, edit.author, edit.at, changes)
        )
        if len(self.history) > MAX_HISTORY_ITEMS:
            self._drop_versions(self.history.pop(0).revision)

    def _drop_versions(self, revision: int) -> None:
        """Drop the row versions that only older base revisions need.

        Only rows that a dropped revision changed can have any.
        """
        self.floor = revision
        while self.changed and self.changed[0][0] <= revision:
            for key in self.changed.pop(0)[1]:
                versions = self.versions[key]
                while len(versions) > 1 and versions[1].revision <= revision:
                    del versions[0]

    def _row_at(self, key: str, revision: int) -> messages.Row | None:
        for version in reversed(self.versions.get(key, ())):
            if version.revision <= revision:
                return version.row
        return None


def difference(
    before: list[messages.Row], after: list[messages.Row]
) -> tuple[list[messages.Row], list[str]]:
    """Return the rows to set and keys to remove to turn one into another."""
    before_by_key = {row.key: row for row in before}
    rows = [row for row in after if before_by_key.get(row.key) != row]
    removed = before_by_key.keys() - {row.key for row in after}
    return rows, sorted(removed)


def _describe_change(
    key: str, before: messages.Row | None, after: messages.Row | None
) -> str:
    if after is None:
        return f'{key} removed'
    if before is None:
        return f'{key} added'
    cells = (
        f'{name} {getattr(before, name)} -> {getattr(after, name)}'
        for name in VALUE_COLUMNS
        if getattr(before, name) != getattr(after, name)
    )
    return f'{key}: ' + ', '.join(cells)


def _format_row(row: messages.Row | None) -> str:
    if row is None:
        return 'removed'
    return ', '.join(f'{name}={getattr(row, name)}' for name in VALUE_COLUMNS)
