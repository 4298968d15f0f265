"""Which request kills the engines it runs on."""

import collections.abc as cabc
import typing as t

import attrs
import xxhash

CRASHES_TO_QUARANTINE: t.Final = 2
MAX_TRACKED: t.Final = 10_000


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

    crashes: dict[str, int] = attrs.field(factory=dict)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an engine has died under this content."""
        return fingerprint in self.crashes

    def learn(self, fingerprints: cabc.Iterable[str]) -> None:
        """Take over suspects that other entries have found."""
        for fingerprint in fingerprints:
            self.crashes.setdefault(fingerprint, 1)

    def engine_died(self, fingerprints: list[str]) -> list[str]:
        """Count a death; return the contents to be quarantined.

        :param fingerprints: of all requests that ran on the engine.
        """
        crashed_before = {f for f in fingerprints if f in self.crashes}
        quarantined: list[str] = []
        for fingerprint in dict.fromkeys(fingerprints):
            if fingerprint not in crashed_before:
                self.crashes[fingerprint] = 1
            elif len(crashed_before) == 1:
                self.crashes[fingerprint] += 1
                if self.crashes[fingerprint] >= CRASHES_TO_QUARANTINE:
                    quarantined.append(fingerprint)
        while len(self.crashes) > MAX_TRACKED:
            del self.crashes[next(iter(self.crashes))]
        return quarantined

    def clear(self, fingerprint: str) -> None:
        """Forget a content that was served whole."""
        self.crashes.pop(fingerprint, None)
