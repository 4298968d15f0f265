"""The tokens of one answer, from whichever attempt may extend it."""

import enum

import attrs


class Verdict(enum.StrEnum):
    """What becomes of one token or end mark."""

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    MISSING = 'missing'
    STALE = 'stale'
    WRONG_REQUEST = 'crossed'


@attrs.define
class Transcript:
    """One answer as far as it exists, and who may extend it.

    Every contender was given exactly the tokens that were here when it
    started. The first one to deliver the next token is the only one
    heard from then on, so that two generations never mix: another
    contender's next token could belong to another text.

    :param request: request id that every engine reply must name.
    :param version: of the model that wrote it, once there is a token.
    """

    request: str
    tokens: list[str] = attrs.field(factory=list)
    version: str = ''
    finish: str = ''
    contenders: dict[int, str] = attrs.field(factory=dict)
    last_attempt: int = 0

    def start_attempt(self, version: str) -> int:
        """Return the number of a new attempt, now a contender."""
        self.last_attempt += 1
        self.contenders[self.last_attempt] = version
        return self.last_attempt

    def end_attempt(self, attempt: int) -> None:
        """Hear an attempt no more, whatever it still sends."""
        self.contenders.pop(attempt, None)

    def accept(
        self, request: str, attempt: int, offset: int, text: str, finish: str
    ) -> Verdict:
        """Take one token or end mark, if it comes next and may come.

        :param finish: ``''`` for a token, else why the answer ended.
        """
        verdict = self._classify(request, attempt, offset)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        if len(self.contenders) > 1:
            self.contenders = {attempt: self.contenders[attempt]}
        self.version = self.contenders[attempt]
        if finish:
            self.finish = finish
        else:
            self.tokens.append(text)
        return verdict

    def _classify(self, request: str, attempt: int, offset: int) -> Verdict:
        if request != self.request:
            return Verdict.WRONG_REQUEST
        if attempt not in self.contenders or self.finish:
            return Verdict.STALE
        if offset < len(self.tokens):
            return Verdict.REPEATED
        if offset > len(self.tokens):
            return Verdict.MISSING
        return Verdict.ACCEPTED
