"""What parts of a process tell each other: every listener, in the order in which they came."""

import unittest

from dewledge.shell.pooler.listeners import Listeners
from dewledge.shell.pooler.notices import ProcessNotices


class ListenersTest(unittest.TestCase):
    def test_all_are_told_in_the_order_in_which_they_came(self) -> None:
        told: list[str] = []
        listeners: Listeners[[str]] = Listeners()
        listeners.add(lambda what: told.append(f"first {what}"))
        listeners.add(lambda what: told.append(f"second {what}"))
        listeners.notify("group")
        self.assertEqual(told, ["first group", "second group"])

    def test_an_event_that_nobody_listens_to_is_dropped(self) -> None:
        notices = ProcessNotices()
        notices.members_changed.notify()
        notices.database_suspected.notify("group", "database")


if __name__ == "__main__":
    unittest.main()
