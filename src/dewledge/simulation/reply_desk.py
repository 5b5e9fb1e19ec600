"""Who waits for an answer of one simulated process, and learns if it ends first."""

from collections.abc import Callable

from dewledge.core.proxy.calls import CallerAnswer
from dewledge.core.proxy.configuration.store import ProposalFinished
from dewledge.core.proxy.effects import AnswerCaller
from dewledge.simulation.clock import Action

AnswerReply = Callable[[CallerAnswer], None]
ProposalReply = Callable[[ProposalFinished], None]


class ReplyDesk:
    """Callers and operators of one process. A doubled answer is passed on, to be seen as such."""

    def __init__(self) -> None:
        self._callers: dict[int, AnswerReply] = {}
        self._ended: dict[int, Action] = {}
        self._operators: dict[str, ProposalReply] = {}

    def expect_answer(self, request_id: int, reply: AnswerReply, ended: Action) -> None:
        """Notes a caller; `ended` runs if the process ends before its answer."""
        self._callers[request_id] = reply
        self._ended[request_id] = ended

    def expect_proposal(self, change_id: str, reply: ProposalReply) -> None:
        """Notes an operator."""
        self._operators[change_id] = reply

    def answer(self, effect: AnswerCaller) -> None:
        """Gives a caller its answer."""
        self._ended.pop(effect.request_id, None)
        reply = self._callers.get(effect.request_id)
        if reply is not None:
            reply(effect.answer)

    def finish_proposal(self, finished: ProposalFinished) -> None:
        """Gives an operator the answer to a proposal."""
        reply = self._operators.pop(finished.change_id, None)
        if reply is not None:
            reply(finished)

    def end(self) -> None:
        """Tells every caller that still waits that the process has ended."""
        ended, self._ended = self._ended, {}
        self._callers.clear()
        self._operators.clear()
        for action in ended.values():
            action()
