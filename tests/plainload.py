"""Plays requests against plain servers of which one fails, in emulated time.

Entries use the production decisions, and exchange load reports by way of
control processes. ``python -m tests.plainload --per-s 160`` prints figures of
entries that know their own failures only, and of entries that share them.
"""

import heapq
import itertools
import random

import attrs
import click

from bulrushhold import decisions
from bulrushhold import messages

SERVICE = 'app'
SERVERS = 4
SLOTS = 6
SERVICE_S = 0.1
MAX_ATTEMPTS = 3
REPORT_DELAY_S = 0.05
POLL_S = 0.2
EXCHANGE_S = 0.25
REPORT_REFRESH_S = 1.0
OVERHEAD_S = 0.005


@attrs.define(eq=False)
class Server:
    """A server with slots, which reports its queue with each response."""

    ident: str
    failing: float = 0.0
    running: int = 0
    waiting: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Request:
    """One request of a caller.

    :ivar attempts: at servers.
    """

    entry: 'Entry'
    at_most_once: bool
    arrived_at: float
    tried: set = attrs.field(factory=set)
    attempts: int = 0


@attrs.define(eq=False)
class Entry:
    name: str
    node: str
    placement: decisions.Placement
    report_due: bool = False
    reported_at: float = float('-inf')
    summary_number: int = 0


@attrs.define
class Result:
    """What callers and servers have seen.

    :ivar arrivals: at each server, by second of arrival.
    :ivar failed_once: failures of requests that may run only once.
    :ivar waits: from arrival to the last response, in seconds.
    """

    requests: int = 0
    at_most_once: int = 0
    second_attempts: int = 0
    failed_once: int = 0
    failed_repeatable: int = 0
    waits: list = attrs.field(factory=list)
    arrivals: dict = attrs.field(factory=dict)
    report_bytes: int = 0
    summary_bytes: int = 0

    def arrived(self, ident, start_s, end_s):
        """Return how many attempts a server got in a time."""
        return sum(
            self.arrivals.get((ident, second), 0)
            for second in range(start_s, end_s)
        )

    @property
    def p95_s(self):
        return sorted(self.waits)[int(0.95 * len(self.waits))]


class PlainLoad:
    """Entries, servers and control processes, and requests to them.

    :param sharing: entries learn of each other's failures.
    :param failing: share of requests that the first server fails, by the
        time from which on it does.
    :param paced: servers state their pace.
    :param reachable: whether control is reachable, by time.
    """

    def __init__(
        self,
        seed,
        *,
        sharing=True,
        entries=72,
        per_s=100.0,
        failing=((0.0, 0.2),),
        at_most_once=0.4,
        nodes=3,
        paced=True,
        reachable=lambda now: True,
    ):
        self.rng = random.Random(seed)
        self.sharing = sharing
        self.per_s = per_s
        self.share_at_most_once = at_most_once
        self.paced = paced
        self.reachable = reachable
        self.result = Result()
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()
        self.servers = {
            f's-{n:010x}': Server(f's-{n:010x}') for n in range(SERVERS)
        }
        self.first = next(iter(self.servers))
        self.nodes = {
            f'n{n}': decisions.LoadAggregator(f'n{n}', f'dc{n}', n + 1)
            for n in range(nodes)
        }
        self.entries = [
            self.make_entry(number, nodes) for number in range(entries)
        ]
        for at, share in failing:
            self.schedule(at, self.set_failing, share)
        self.schedule(0.0, self.arrive)
        self.schedule(EXCHANGE_S, self.exchange)

    def make_entry(self, number, nodes):
        seed = self.rng.getrandbits(32)
        entry = Entry(
            f'e{number}',
            f'n{number % nodes}',
            decisions.Placement(random.Random(seed)),
        )
        entry.placement.update(
            [
                messages.ListedBackend(ident, SERVICE, ident, '', SLOTS)
                for ident in self.servers
            ]
        )
        entry.placement.on_load_change = lambda: self.request_report(entry)
        start_s = self.rng.random() * POLL_S
        self.schedule(start_s, self.poll, entry)
        self.schedule(start_s, self.refresh, entry)
        return entry

    def schedule(self, at, action, *args):
        heapq.heappush(self.heap, (at, next(self.order), action, args))

    def run(self, seconds):
        while self.heap and self.heap[0][0] <= seconds:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
        return self.result

    def set_failing(self, share):
        self.servers[self.first].failing = share

    # Load reports

    def request_report(self, entry):
        if not entry.report_due:
            entry.report_due = True
            self.schedule(self.now + REPORT_DELAY_S, self.report, entry)

    def refresh(self, entry):
        if self.now - entry.reported_at >= REPORT_REFRESH_S:
            self.report(entry)
        self.schedule(self.now + REPORT_REFRESH_S, self.refresh, entry)

    def report(self, entry):
        entry.report_due = False
        entry.reported_at = self.now
        if not self.reachable(self.now):
            return
        report = entry.placement.load_report(entry.name, {}, self.now)
        if not self.sharing:
            report = attrs.evolve(report, failures={})
        self.result.report_bytes += len(messages.encode(report))
        self.nodes[entry.node].add_report(report, self.now)

    def poll(self, entry):
        self.schedule(self.now + POLL_S, self.poll, entry)
        if not self.reachable(self.now):
            return
        node = self.nodes[entry.node]
        if node.number == entry.summary_number:
            entry.placement.confirm_loads(self.now)
            return
        summary = node.summary_for(entry.name, entry.summary_number, self.now)
        self.result.summary_bytes += len(
            messages.encode(messages.WatchReply('done', loads=summary))
        )
        entry.summary_number = summary.number
        entry.placement.apply_loads(summary, self.now)

    def exchange(self):
        self.schedule(self.now + EXCHANGE_S, self.exchange)
        loads = [node.node_load(self.now) for node in self.nodes.values()]
        for load in loads:
            for name, node in self.nodes.items():
                if name != load.node:
                    node.add_node_load(load, self.now)

    # Requests

    def arrive(self):
        self.schedule(self.now + self.rng.expovariate(self.per_s), self.arrive)
        request = Request(
            self.rng.choice(self.entries),
            self.rng.random() < self.share_at_most_once,
            self.now,
        )
        self.result.requests += 1
        self.result.at_most_once += request.at_most_once
        self.send(request)

    def send(self, request):
        placement = request.entry.placement
        backend = placement.choose(
            SERVICE,
            self.now,
            at_most_once=request.at_most_once,
            tried=request.tried,
        )
        request.tried.add(backend.ident)
        request.attempts += 1
        self.result.second_attempts += request.attempts > 1
        key = backend.ident, int(self.now)
        self.result.arrivals[key] = self.result.arrivals.get(key, 0) + 1
        explained = placement.explained_factor(backend, self.now)
        placement.request_started(backend, self.now)
        sent = (request, backend, explained, self.now)
        server = self.servers[backend.ident]
        if server.running < SLOTS:
            self.start(server, sent)
        else:
            server.waiting.append(sent)

    def start(self, server, sent):
        server.running += 1
        work_s = SERVICE_S * self.rng.uniform(0.6, 1.4)
        self.schedule(self.now + work_s, self.finish, server, sent)

    def finish(self, server, sent):
        server.running -= 1
        if server.waiting:
            self.start(server, server.waiting.pop(0))
        self.schedule(
            self.now + OVERHEAD_S,
            self.respond,
            sent,
            self.rng.random() < server.failing,
            (server.running, len(server.waiting)),
        )

    def respond(self, sent, failed, load):
        request, backend, explained, sent_at = sent
        placement, ident = request.entry.placement, backend.ident
        seconds = self.now - sent_at
        placement.record_reported_load(ident, *load, self.now)
        if self.paced:
            placement.server_speeds.record_pace(SERVICE, ident, 1.0, self.now)
        placement.request_ended(backend, self.now)
        if failed:
            placement.record_failure(ident, self.now, unreachable=False)
        else:
            placement.record_success(ident, self.now, seconds)
        placement.record_attempt(ident, self.now, failed=failed)
        if not failed:
            placement.record_service_time(ident, seconds, explained, self.now)
        elif not request.at_most_once and request.attempts < MAX_ATTEMPTS:
            self.send(request)
            return
        self.result.failed_once += failed and request.at_most_once
        self.result.failed_repeatable += failed and not request.at_most_once
        self.result.waits.append(self.now - request.arrived_at)


@click.command()
@click.option('--per-s', default=100.0, help='Requests a second.')
@click.option('--seconds', default=60.0)
@click.option('--entries', default=72)
def main(per_s, seconds, entries):
    """Print figures with and without sharing, for three seeds."""
    for seed in (1, 2, 3):
        for sharing in (False, True):
            load = PlainLoad(
                seed, sharing=sharing, per_s=per_s, entries=entries
            )
            result = load.run(seconds)
            click.echo(
                f'seed={seed} sharing={sharing} requests={result.requests}'
                f' second_attempts={result.second_attempts}'
                f' failed_once={result.failed_once}/{result.at_most_once}'
                f' p95_s={result.p95_s:.3f}'
                f' at_failing={result.arrived(load.first, 0, int(seconds))}'
                f' report_Bps={result.report_bytes / seconds / entries:.0f}'
                f' summary_Bps={result.summary_bytes / seconds / entries:.0f}'
            )


if __name__ == '__main__':
    main()
