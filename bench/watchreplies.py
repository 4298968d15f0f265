"""Sizes of watch replies after changes of a large deployment.

    python -m bench.watchreplies

Prints the bytes and the CPU time of the replies to one entry, for a list of
3,000 backend servers and for one of 386 entries.
"""

import random
import time
import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages

SERVERS: t.Final = 3_000
SERVICES: t.Final = 40
ENTRIES: t.Final = 386
REPLICAS: t.Final = 5


def make_servers(rng: random.Random) -> list[messages.ListedBackend]:
    """Return servers sorted by their random identifiers."""
    servers = [
        messages.ListedBackend(
            f'i-{rng.getrandbits(64):016x}',
            f'service-{number % SERVICES}',
            f'10.{number % 3}.{number // 250}.{number % 250}:8080',
            f'dc-{number % 3}',
            64,
            version=f'v{number % 2}',
        )
        for number in range(SERVERS)
    ]
    return sorted(servers, key=lambda server: server.ident)


def make_entries() -> list[messages.ListedEntry]:
    """Return entries as they run on instances of different capacity."""
    return [
        messages.ListedEntry(
            f'entry-{number:03}',
            f'dc-{number % 3}',
            f'10.9.{number // 250}.{number % 250}:8080',
            True,
            f'10.9.{number // 250}.{number % 250}:7001',
            weight=round(1.0 + number % 7 / 10, 2),
        )
        for number in range(ENTRIES)
    ]


def make_view() -> _clusterview.ClusterView:
    """Return a view with voters, servers and entries."""
    view = _clusterview.ClusterView(time.monotonic)
    view.voter_addresses = [f'10.9.0.{n}:7000' for n in range(REPLICAS)]
    view.backends_read_at = time.monotonic()
    servers = make_servers(random.Random(1))
    view.set_backends(decisions.BackendList.of(servers), '1.1')
    view.set_entries(decisions.EntryList.of(make_entries()), '1.1')
    return view


def measure(
    name: str, view: _clusterview.ClusterView, known: messages.Known
) -> None:
    """Print the size of a reply, and the time to encode the first two."""
    times = []
    for _ in range(2):
        started_at = time.perf_counter()
        size = len(messages.encode(view.reply(known)))
        times.append((time.perf_counter() - started_at) * 1000)
    print(f'{name:32} {size:9,} B {times[0]:7.2f} ms {times[1]:7.2f} ms')


def main() -> None:
    """Print the size of each reply and its time for two entries."""
    view = make_view()
    print(f'{"reply":34} {"size":>9} {"1st entry":>10} {"2nd entry":>10}')
    measure('first, all parts', view, messages.Known())
    known = view.versions()
    measure('nothing changed', view, known)
    assert view.backends is not None
    servers = list(view.backends)
    servers[7] = attrs.evolve(servers[7], leaving=True)
    view.set_backends(decisions.BackendList.of(servers), '1.2')
    measure('one server leaves', view, known)
    known = view.versions()
    random.Random(2).shuffle(servers)
    for index in range(10):
        servers[index] = attrs.evolve(servers[index], leaving=True)
    servers.sort(key=lambda server: server.ident)
    view.set_backends(decisions.BackendList.of(servers), '1.3')
    measure('ten servers leave', view, known)
    known = view.versions()
    measure_entries(view)


def measure_entries(view: _clusterview.ClusterView) -> None:
    """Print the sizes of replies after changes of load factors."""
    rng = random.Random(3)
    for number, count in enumerate((1, 10, ENTRIES), 2):
        known = view.versions()
        changed = set(rng.sample(range(ENTRIES), count))
        entries = [
            attrs.evolve(entry, load_factor=round(rng.uniform(0.5, 0.9), 2))
            if index in changed
            else entry
            for index, entry in enumerate(view.entries)
        ]
        view.set_entries(decisions.EntryList.of(entries), f'1.{number}')
        name = f'load factors: {count}'
        measure(name, view, known)
        unknown = attrs.evolve(known, entries_digest=b'')
        measure(f'{name}, full list', view, unknown)
        print_uncompressed(f'{name}, uncompressed', view, known)


def print_uncompressed(
    name: str, view: _clusterview.ClusterView, known: messages.Known
) -> None:
    """Print the size of a reply that holds all entries as they are."""
    reply = attrs.evolve(view.reply(known), entries=view.entries)
    print(f'{name:32} {len(messages.encode(reply)):9,} B')


if __name__ == '__main__':
    main()
