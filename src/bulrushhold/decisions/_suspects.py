"""Which request kills the engines it runs on."""

import collections.abc as cabc
import typing as t

import attrs
import xxhash

DEATHS_TO_QUARANTINE: t.Final = 2
REMEMBERED: t.Final = 10_000


def content_fingerprint(content: bytes) -> str:
    """Return the fingerprint of a request's content, without its key."""
    return xxhash.xxh3_128_hexdigest(content)


@attrs.define
class Suspects:
    """Deaths of engines by the content of the requests on them.

    All requests on an engine that dies become suspects; most are
    innocent. Each goes on alone among the suspects of its engine, so
    that a second death names one. A death shared by several suspects
    names nobody: their count stays, and they are parted again.
    """

    deaths: dict[str, int] = attrs.field(factory=dict)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an engine has died under this content."""
        return fingerprint in self.deaths

    def learn(self, fingerprints: cabc.Iterable[str]) -> None:
        """Take over suspects that other entries have found."""
        for fingerprint in fingerprints:
            self.deaths.setdefault(fingerprint, 1)

    def engine_died(self, fingerprints: list[str]) -> list[str]:
        """Count a death; return the contents to be quarantined.

        :param fingerprints: of all requests that ran on the engine.
        """
        former = {f for f in fingerprints if f in self.deaths}
        named: list[str] = []
        for fingerprint in dict.fromkeys(fingerprints):
            if fingerprint not in former:
                self.deaths[fingerprint] = 1
            elif len(former) == 1:
                self.deaths[fingerprint] += 1
                if self.deaths[fingerprint] >= DEATHS_TO_QUARANTINE:
                    named.append(fingerprint)
        while len(self.deaths) > REMEMBERED:
            del self.deaths[next(iter(self.deaths))]
        return named

    def clear(self, fingerprint: str) -> None:
        """Forget a content that was served whole."""
        self.deaths.pop(fingerprint, None)
