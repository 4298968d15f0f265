"""Answers reads of the replicated state under the leader's lease."""

import collections.abc as cabc
import typing as t

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports

APPLIED_REVISION_TTL_S: t.Final = 60.0


class StateReader:
    """Serves the table, its history and the status of one replica.

    :param state: returns the current state; a snapshot replaces it.
    """

    def __init__(
        self,
        replica: decisions.Replica,
        state: cabc.Callable[[], decisions.ReplicatedState],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.replica = replica
        self.state = state
        self.clock = clock
        self.applied_revisions: dict[str, tuple[int, float]] = {}

    def register(self, transport: ports.Transport) -> None:
        """Handle the reads that arrive on a transport."""
        transport.handle(messages.TableRead, self._on_table_read)
        transport.handle(messages.HistoryRead, self._on_history_read)
        transport.handle(messages.StatusRead, self._on_status_read)

    async def _on_table_read(
        self, read: messages.TableRead
    ) -> messages.TableReply:
        if not self.replica.may_read(self.clock()):
            return messages.TableReply(
                'not_leader', self.replica.leader_address()
            )
        if read.instance:
            self.applied_revisions[read.instance] = (read.known, self.clock())
        table = self.state().table
        if read.at >= 0:
            return self._table_at(read.at)
        whole = read.known < table.floor or read.known > table.revision
        known_revision = 0 if whole else read.known
        rows, removed = table.changes_since(known_revision)
        return messages.TableReply(
            'done',
            revision=table.revision,
            whole=whole or known_revision == 0,
            rows=rows,
            removed=removed,
            refusals_revision=self.state().refusals_revision,
            refusals=None
            if read.known_refusals == self.state().refusals_revision
            else self.state().refusals(),
        )

    def _table_at(self, revision: int) -> messages.TableReply:
        table = self.state().table
        if not table.has_revision(revision):
            return messages.TableReply('done', revision=-1)
        return messages.TableReply(
            'done', revision=revision, whole=True, rows=table.rows(revision)
        )

    async def _on_history_read(
        self, read: messages.HistoryRead
    ) -> messages.HistoryReply:
        if not self.replica.may_read(self.clock()):
            return messages.HistoryReply(
                'not_leader', self.replica.leader_address()
            )
        items = self.state().table.history[-read.limit :]
        return messages.HistoryReply('done', items=items[::-1])

    async def _on_status_read(
        self, read: messages.StatusRead
    ) -> messages.StatusReply:
        del read
        now = self.clock()
        replica = self.replica
        recent = {
            name: (revision, round(now - at, 3))
            for name, (revision, at) in self.applied_revisions.items()
            if now - at < APPLIED_REVISION_TTL_S
        }
        return messages.StatusReply(
            replica=replica.ident,
            role=replica.role.value,
            term=replica.term,
            leader=replica.leader,
            commit=replica.commit,
            revision=self.state().table.revision,
            voters=sorted(replica.config.voters),
            learners=sorted(replica.config.learners),
            in_force=recent,
        )
