"""Simulation tests of key takeover under random failures.

Five entries, one key and one caller are simulated with transcripts, copy
stores, pointers and takeovers. A seeded schedule orders tokens, appends,
failures and reconnects. After each step, the caller's tokens must be a prefix
of a single text.
"""

import random

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import messages

NAMES = ('a', 'b', 'c', 'd', 'e')
HOMES = NAMES[:3]
KEY = 'account/key'
SEEDS = 400
STEPS = 400


class MixedTexts(AssertionError):
    """The caller's tokens aren't a prefix of a single text."""


@attrs.define
class ServedKey:
    """State of the key on an entry that serves it."""

    epoch: int
    transcript: decisions.Transcript
    acked: dict
    lost_peers: set
    fenced: bool = False


class Simulation:
    def __init__(self, seed, ignore_since=False, restart_weight=0.5):
        self.rng = random.Random(seed)
        self.ignore_since = ignore_since
        self.restart_weight = restart_weight
        self.delivery_weight = 4
        self.answer_probability = 0.7
        self.now = 1000.0
        self.stores = {n: decisions.CopyStore(60.0, 0.0) for n in NAMES}
        self.serving = {}
        self.engines = []
        self.in_flight = []
        self.text_count = 0
        self.epoch_count = 0
        self.caller_entry = None
        self.received = []
        self.refusals = 0
        self.reconnects = 0

    def peers(self, name):
        start = NAMES.index(name) + 1
        return [NAMES[(start + n) % len(NAMES)] for n in range(2)]

    def reachable(self, name):
        """Return a random set of entries that answer, including ``name``."""
        return [
            n
            for n in NAMES
            if n == name or self.rng.random() < self.answer_probability
        ]

    # Schedule steps

    def reconnect(self):
        """Connect the caller to a random entry to resume the answer."""
        name = self.rng.choice(NAMES)
        self.caller_entry = None
        served = self.serving.get(name)
        if (
            served is None
            or served.fenced
            or not self.still_owns(name, served)
        ):
            served = self.take_over(name)
        if served is None or len(self.received) > len(
            served.transcript.tokens
        ):
            self.refusals += 1
            return
        self.reconnects += 1
        self.caller_entry = name

    def still_owns(self, name, served):
        pointers = self.take_pointers(name, served.epoch)
        return pointers.majority and pointers.epoch == served.epoch

    def take_over(self, name):
        self.epoch_count += 1
        epoch = self.epoch_count
        received_count = len(self.received)
        pointers = self.take_pointers(name, epoch)
        if not pointers.majority or pointers.epoch > epoch:
            return None
        take = messages.CopyTake(KEY, epoch)
        answering = self.reachable(name)
        copies = [
            self.stores[n].take_copy(take, self.now)
            for n in pointers.copy_addresses
            if n in answering
        ]
        since = 0 if self.ignore_since else pointers.start_epoch
        copy = decisions.best_copy(copies, since)
        if received_count and (
            copy is None
            or received_count > len(copy.tokens)
            or not pointers.conclusive
        ):
            return None
        transcript = decisions.Transcript(KEY)
        if copy is not None and copy.tokens:
            transcript.tokens = list(copy.tokens)
        elif not self.start_text(name, epoch):
            return None
        self.serving[name] = ServedKey(epoch, transcript, {}, set())
        return self.serving[name]

    def take_pointers(self, name, epoch, begins=False):
        take = messages.PointerTake(KEY, epoch, 'f', self.peers(name), begins)
        states = [
            self.stores[n].take_pointer(take, self.now)
            for n in self.reachable(name)
            if n in HOMES
        ]
        return decisions.summarize_pointers(states, len(HOMES))

    def start_text(self, name, epoch):
        pointers = self.take_pointers(name, epoch, begins=True)
        return pointers.majority and pointers.epoch == epoch

    def dispatch(self):
        """Start an attempt at a random serving entry."""
        served = self.random_served()
        if served is None:
            return
        tokens = served.transcript.tokens
        if tokens:
            text = tokens[0].partition(':')[0]
        else:
            self.text_count += 1
            text = f't{self.text_count}'
        number = served.transcript.start_attempt('v1')
        self.engines.append([served, number, text, len(tokens)])

    def generate_token(self):
        """Send a token from a random engine, sometimes a duplicate."""
        if not self.engines:
            return
        engine = self.rng.choice(self.engines)
        served, number, text, offset = engine
        if self.rng.random() < 0.1:
            offset = max(0, offset - self.rng.randrange(3))
        served.transcript.accept(KEY, number, offset, f'{text}:{offset}', '')
        engine[3] = max(engine[3], offset + 1)

    def end_random_attempt(self):
        served = self.random_served()
        if served is not None and served.transcript.active_attempts:
            served.transcript.end_attempt(
                self.rng.choice(list(served.transcript.active_attempts))
            )

    def send(self):
        """Send missing tokens to a peer; they may arrive late or get lost."""
        name = self.rng.choice(NAMES)
        served = self.serving.get(name)
        if served is None or served.fenced:
            return
        peer = self.rng.choice(self.peers(name))
        offset = served.acked.get(peer, 0)
        tokens = list(served.transcript.tokens[offset:])
        append = messages.CopyAppend(KEY, served.epoch, offset, tokens, 'v1')
        self.in_flight.append((served, peer, append))

    def deliver(self):
        if not self.in_flight:
            return
        number = self.rng.randrange(len(self.in_flight))
        served, peer, append = self.in_flight.pop(number)
        if self.rng.random() < 0.15:
            return
        ok, length = self.stores[peer].append(append, self.now)
        if not ok:
            served.fenced = True
        elif self.rng.random() < 0.9:
            served.acked[peer] = length

    def toggle_lost_peer(self):
        """Toggle whether an entry considers a peer lost.

        Tokens are delivered without waiting for the copies of lost peers.
        """
        served = self.random_served()
        if served is not None:
            served.lost_peers ^= {self.rng.choice(NAMES)}

    def deliver_to_caller(self):
        """Deliver the tokens that all live peers of the entry have stored."""
        served = self.serving.get(self.caller_entry)
        if served is None or served.fenced:
            return
        live = [
            p
            for p in self.peers(self.caller_entry)
            if p not in served.lost_peers
        ]
        acked_lengths = [served.acked.get(peer, 0) for peer in live]
        visible = min([len(served.transcript.tokens), *acked_lengths])
        self.received += served.transcript.tokens[len(self.received) : visible]

    def restart(self):
        """Restart a random entry without its state."""
        name = self.rng.choice(NAMES)
        self.stores[name] = decisions.CopyStore(60.0, self.now)
        self.serving.pop(name, None)
        if self.caller_entry == name:
            self.caller_entry = None

    def random_served(self):
        live = [
            served for served in self.serving.values() if not served.fenced
        ]
        return self.rng.choice(live) if live else None

    def check(self):
        if not self.received:
            return
        text = self.received[0].partition(':')[0]
        expected = [f'{text}:{n}' for n in range(len(self.received))]
        if self.received != expected:
            raise MixedTexts(str(self.received))

    def run(self):
        steps = [
            (self.generate_token, 40),
            (self.send, 20),
            (self.deliver, 20),
            (self.deliver_to_caller, self.delivery_weight),
            (self.dispatch, 10),
            (self.end_random_attempt, 2),
            (self.reconnect, 4),
            (self.toggle_lost_peer, 6),
            (self.restart, self.restart_weight),
        ]
        weights = [weight for _, weight in steps]
        for _ in range(STEPS):
            (step,) = self.rng.choices(steps, weights)
            step[0]()
            self.now += 0.1
            self.check()


def test_caller_never_receives_two_texts():
    reconnects = refusals = received = 0
    for seed in range(SEEDS):
        simulation = Simulation(seed, restart_weight=(0.5, 2.0)[seed % 2])
        try:
            simulation.run()
        except MixedTexts as error:
            pytest.fail(f'seed {seed}: {error}')
        reconnects += simulation.reconnects
        refusals += simulation.refusals
        received += len(simulation.received)
    # The schedules must cover reconnects and delivered tokens.
    assert reconnects > SEEDS
    assert received > SEEDS
    assert refusals < reconnects


def test_search_detects_a_copy_of_an_earlier_text():
    # Seeded bug: without ``start_epoch``, a copy of the first text that one
    # takeover missed and the next one found would continue the second text.
    with pytest.raises(MixedTexts):
        for seed in range(SEEDS * 5):
            Simulation(seed, ignore_since=True).run()
