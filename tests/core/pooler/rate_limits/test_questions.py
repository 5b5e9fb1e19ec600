"""Guards against questions that are answered twice or never forgotten."""

import unittest

from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.core.pooler.rate_limits.questions import QUESTION_RETENTION_SECONDS, Questions
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter
from tests.core.pooler.harness import ModelScheduler

SLOT = Slot(1, 0)


def answer_to(question: QuotaQuestion) -> QuotaAnswer:
    return QuotaAnswer("b", question.number, question.slot, 0.0, True)


class QuestionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.sent: list[tuple[str, QuotaQuestion]] = []
        self.questions = Questions(
            self.scheduler, "a", lambda name, question: self.sent.append((name, question))
        )

    def test_questions_have_the_right_receiver_and_unique_numbers(self) -> None:
        self.questions.ask(SLOT, Voter(("b", "c"), -10.0, 0.0))
        self.questions.probe(SLOT, "c")
        self.questions.withdraw(SLOT, "d")
        self.assertEqual([name for name, _ in self.sent], ["b", "c", "d"])
        questions = [question for _, question in self.sent]
        self.assertEqual(len({question.number for question in questions}), 3)
        self.assertEqual([question.votes for question in questions], [True, False, False])
        self.assertEqual([question.withdraws for question in questions], [False, False, True])

    def test_answer_matches_once(self) -> None:
        self.questions.withdraw(SLOT, "b")
        answer = answer_to(self.sent[0][1])
        self.assertTrue(self.questions.is_open(answer.number))
        asked = self.questions.match_answer(answer)
        assert asked is not None
        self.assertTrue(asked.withdraws)
        self.assertIsNone(self.questions.match_answer(answer))
        self.assertFalse(self.questions.is_open(answer.number))

    def test_unanswered_question_is_forgotten(self) -> None:
        self.questions.probe(SLOT, "b")
        answer = answer_to(self.sent[0][1])
        now = self.scheduler.now()
        self.questions.forget_unanswered(now + QUESTION_RETENTION_SECONDS)
        self.assertTrue(self.questions.is_open(answer.number))
        self.questions.forget_unanswered(now + QUESTION_RETENTION_SECONDS + 0.01)
        self.assertIsNone(self.questions.match_answer(answer))


if __name__ == "__main__":
    unittest.main()
