"""Random orders of losses over the decisions that move a text between entries.

A world of five entries, one key and one caller is made of the pure parts:
transcripts, copy stores, pointers and takeovers. Tokens, appends, losses and
moves come in an order drawn from a seed; after each, what the caller has must
be a beginning of one text.
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


class Mixed(AssertionError):
    """The caller holds tokens that no one text begins with."""


@attrs.define
class Serving:
    """An entry's side of the key."""

    epoch: int
    transcript: decisions.Transcript
    acked: dict
    lost_peers: set
    fenced: bool = False


class World:
    def __init__(self, seed, take_any_copy=False, restarts=0.5):
        self.rng = random.Random(seed)
        self.take_any_copy = take_any_copy
        self.restarts = restarts
        self.shows = 4
        self.reach = 0.7
        self.now = 1000.0
        self.stores = {n: decisions.CopyStore(60.0, 0.0) for n in NAMES}
        self.serving = {}
        self.engines = []
        self.under_way = []
        self.texts = 0
        self.epochs = 0
        self.at = None
        self.received = []
        self.refusals = 0
        self.moves = 0

    def peers(self, name):
        start = NAMES.index(name) + 1
        return [NAMES[(start + n) % len(NAMES)] for n in range(2)]

    def reachable(self, name):
        """Draw the entries that answer this time; the own one does."""
        return [
            n for n in NAMES if n == name or self.rng.random() < self.reach
        ]

    # Steps

    def move(self):
        """The caller turns to an entry, with what it has."""
        name = self.rng.choice(NAMES)
        self.at = None
        own = self.serving.get(name)
        if own is None or own.fenced or not self.still_serves(name, own):
            own = self.take_over(name)
        if own is None or len(self.received) > len(own.transcript.tokens):
            self.refusals += 1
            return
        self.moves += 1
        self.at = name

    def still_serves(self, name, own):
        found = self.take_pointers(name, own.epoch)
        return found.majority and found.epoch == own.epoch

    def take_over(self, name):
        self.epochs += 1
        epoch = self.epochs
        have = len(self.received)
        found = self.take_pointers(name, epoch)
        if not found.majority or found.epoch > epoch:
            return None
        take = messages.CopyTake(KEY, epoch)
        answering = self.reachable(name)
        copies = [
            self.stores[n].take(take, self.now)
            for n in found.former
            if n in answering
        ]
        since = 0 if self.take_any_copy else found.since
        copy = decisions.best_copy(copies, since)
        if have and (
            copy is None or have > len(copy.tokens) or not found.sure
        ):
            return None
        transcript = decisions.Transcript(KEY)
        if copy is not None and copy.tokens:
            transcript.tokens = list(copy.tokens)
        elif not self.begin(name, epoch):
            return None
        self.serving[name] = Serving(epoch, transcript, {}, set())
        return self.serving[name]

    def take_pointers(self, name, epoch, begins=False):
        take = messages.PointerTake(KEY, epoch, 'f', self.peers(name), begins)
        states = [
            self.stores[n].take_pointer(take, self.now)
            for n in self.reachable(name)
            if n in HOMES
        ]
        return decisions.standing(states, len(HOMES))

    def begin(self, name, epoch):
        found = self.take_pointers(name, epoch, begins=True)
        return found.majority and found.epoch == epoch

    def dispatch(self):
        """Some serving entry starts an attempt on an engine."""
        own = self.some_serving()
        if own is None:
            return
        tokens = own.transcript.tokens
        if tokens:
            text = tokens[0].partition(':')[0]
        else:
            self.texts += 1
            text = f't{self.texts}'
        number = own.transcript.start_attempt('v1')
        self.engines.append([own, number, text, len(tokens)])

    def emit(self):
        """Some engine sends a token, now and then one it sent before."""
        if not self.engines:
            return
        engine = self.rng.choice(self.engines)
        own, number, text, offset = engine
        if self.rng.random() < 0.1:
            offset = max(0, offset - self.rng.randrange(3))
        own.transcript.accept(KEY, number, offset, f'{text}:{offset}', '')
        engine[3] = max(engine[3], offset + 1)

    def lose_attempt(self):
        own = self.some_serving()
        if own is not None and own.transcript.contenders:
            own.transcript.end_attempt(
                self.rng.choice(list(own.transcript.contenders))
            )

    def send(self):
        """Some entry sends what a peer lacks; it may arrive late or never."""
        name = self.rng.choice(NAMES)
        own = self.serving.get(name)
        if own is None or own.fenced:
            return
        peer = self.rng.choice(self.peers(name))
        offset = own.acked.get(peer, 0)
        tokens = list(own.transcript.tokens[offset:])
        append = messages.CopyAppend(KEY, own.epoch, offset, tokens, 'v1')
        self.under_way.append((own, peer, append))

    def deliver(self):
        if not self.under_way:
            return
        number = self.rng.randrange(len(self.under_way))
        own, peer, append = self.under_way.pop(number)
        if self.rng.random() < 0.15:
            return
        ok, length = self.stores[peer].append(append, self.now)
        if not ok:
            own.fenced = True
        elif self.rng.random() < 0.9:
            own.acked[peer] = length

    def lose_peer(self):
        """An entry gives a peer up: it shows without its copies."""
        own = self.some_serving()
        if own is not None:
            own.lost_peers ^= {self.rng.choice(NAMES)}

    def show(self):
        """The caller gets what all live peers of its entry hold."""
        own = self.serving.get(self.at)
        if own is None or own.fenced:
            return
        live = [p for p in self.peers(self.at) if p not in own.lost_peers]
        held = [own.acked.get(peer, 0) for peer in live]
        visible = min([len(own.transcript.tokens), *held])
        self.received += own.transcript.tokens[len(self.received) : visible]

    def restart(self):
        """An entry dies, and comes back with nothing."""
        name = self.rng.choice(NAMES)
        self.stores[name] = decisions.CopyStore(60.0, self.now)
        self.serving.pop(name, None)
        if self.at == name:
            self.at = None

    def some_serving(self):
        live = [own for own in self.serving.values() if not own.fenced]
        return self.rng.choice(live) if live else None

    def check(self):
        if not self.received:
            return
        text = self.received[0].partition(':')[0]
        wanted = [f'{text}:{n}' for n in range(len(self.received))]
        if self.received != wanted:
            raise Mixed(str(self.received))

    def run(self):
        steps = [
            (self.emit, 40),
            (self.send, 20),
            (self.deliver, 20),
            (self.show, self.shows),
            (self.dispatch, 10),
            (self.lose_attempt, 2),
            (self.move, 4),
            (self.lose_peer, 6),
            (self.restart, self.restarts),
        ]
        weights = [weight for _, weight in steps]
        for _ in range(STEPS):
            (step,) = self.rng.choices(steps, weights)
            step[0]()
            self.now += 0.1
            self.check()


def test_a_caller_never_holds_two_texts_in_any_order_of_losses():
    moves = refusals = received = 0
    for seed in range(SEEDS):
        world = World(seed, restarts=(0.5, 2.0)[seed % 2])
        try:
            world.run()
        except Mixed as mixed:
            pytest.fail(f'seed {seed}: {mixed}')
        moves += world.moves
        refusals += world.refusals
        received += len(world.received)
    # The search means nothing where callers never move or never receive.
    assert moves > SEEDS
    assert received > SEEDS
    assert refusals < moves


def test_the_search_finds_a_copy_taken_from_a_former_text():
    # Known bug, seeded: without ``since``, a copy of a first text, missed
    # at one takeover and found at the next, continues the second text.
    with pytest.raises(Mixed):
        for seed in range(SEEDS * 5):
            World(seed, take_any_copy=True).run()
