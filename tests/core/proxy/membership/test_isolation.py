"""Contract of the isolation guard."""

import unittest

from dewledge.core.proxy.membership.isolation import IsolationGuard, IsolationSettings

BOUND = 5.0

MAJORITIES = [
    # reachable, known, whether that is enough
    (1, 1, True),
    (1, 2, False),
    (2, 3, True),
    (425, 850, False),
    (426, 850, True),
]


def guard() -> IsolationGuard:
    return IsolationGuard(IsolationSettings(BOUND))


class IsolationTest(unittest.TestCase):
    def test_without_any_contact_nothing_is_served(self) -> None:
        self.assertFalse(guard().may_serve(0.0))
        self.assertFalse(guard().may_accept(0.0))

    def test_majorities(self) -> None:
        for reachable, known, enough in MAJORITIES:
            with self.subTest(reachable=reachable, known=known):
                found = guard()
                found.note_members(reachable, known, 1.0)
                self.assertEqual(found.may_serve(1.0), enough)
                self.assertEqual(found.may_accept(1.0), enough)

    def test_contacts_grow_old(self) -> None:
        found = guard()
        found.note_members(3, 3, 1.0)
        self.assertTrue(found.may_serve(1.0 + BOUND))
        self.assertFalse(found.may_serve(1.1 + BOUND))

    def test_the_store_is_enough_to_serve_but_not_to_accept(self) -> None:
        found = guard()
        found.note_store_contact(1.0)
        found.note_members(1, 3, 1.0)
        self.assertTrue(found.may_serve(2.0))
        self.assertFalse(found.may_accept(2.0))

    def test_a_late_word_from_the_store_does_not_count_as_new(self) -> None:
        found = guard()
        found.note_store_contact(10.0)
        found.note_store_contact(2.0)
        self.assertEqual(found.age(11.0), 1.0)

    def test_a_thawed_process_refuses_until_it_has_asked_again(self) -> None:
        found = guard()
        found.note_members(3, 3, 1.0)
        thawed = 1.0 + 10 * BOUND
        self.assertFalse(found.may_serve(thawed))
        found.note_members(3, 3, thawed)
        self.assertFalse(found.may_serve(thawed))
        found.note_members(3, 3, thawed + 1.0)
        self.assertTrue(found.may_serve(thawed + 1.0))
