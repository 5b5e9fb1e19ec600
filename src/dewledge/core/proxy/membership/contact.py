"""Extra pings of a member that sees no majority: it looks for word from the store, or for company.

With two regions cut from each other, neither holds a majority. Word from the few proxies that poll
the store then has to reach all others of their region within the isolation bound, by answers only:
the age that an answer names is reckoned from when we asked, so no delay and no freeze makes it look
younger. One ping a second is too slow for that at hundreds of members; five are not.
"""

import msgspec

LONGEST_WAIT = 2.0
"""Seconds after which an answer no longer counts."""


class ContactPing(msgspec.Struct, frozen=True):
    """A ping under way."""

    name: str
    sent_at: float


class ContactPings:
    """The extra pings under way, by sequence number. next_at: when another one is due."""

    def __init__(self) -> None:
        self.next_at = 0.0
        self._pings: dict[int, ContactPing] = {}

    def add(self, sequence: int, name: str, now: float) -> None:
        """Notes a ping, and forgets those that were not answered in time."""
        self._pings = {
            key: ping for key, ping in self._pings.items() if now - ping.sent_at < LONGEST_WAIT
        }
        self._pings[sequence] = ContactPing(name, now)

    def answered(self, sequence: int, now: float) -> ContactPing | None:
        """Returns, and forgets, the ping that was answered; None if that was too long ago.

        An answer that waited while this process was frozen says nothing of who is in reach now.
        """
        ping = self._pings.pop(sequence, None)
        if ping is None or now - ping.sent_at >= LONGEST_WAIT:
            return None
        return ping
