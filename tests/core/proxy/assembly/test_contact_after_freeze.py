"""Contact with peers that have a later configuration is no reason to serve with an old one."""

import unittest
from random import Random

from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.configuration.codec import encode_change
from dewledge.core.proxy.configuration.configuration import ChangeSet
from dewledge.core.proxy.effects import SendToPeer
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.messages import SendDatagram
from dewledge.core.proxy.messages import ConfigurationDelta

NAMES = ("one", "two")
STEP_SECONDS = 0.01
FREEZE_SECONDS = 60.0
SOME_SECONDS = 10.0


def change(revision: int) -> ConfigurationDelta:
    """Returns a change without resources: only its revision counts here."""
    return ConfigurationDelta(0, (encode_change(ChangeSet(revision, f"c{revision}", "op", ())),))


class TwoProxies:
    """Two cores with a network between; links between them may be down while datagrams pass."""

    def __init__(self) -> None:
        codec = SessionTokenCodec([b"a session key for tests, long enough"])
        self.now = 100.0
        self.frozen = ""
        self.links_up = True
        self.cores = {
            name: ProxyCore(
                Member(name, f"{name}:1", f"{name}:2", "zone", incarnation=1),
                ProxyCoreSettings(),
                codec,
                Random(name),
            )
            for name in NAMES
        }
        for name, core in self.cores.items():
            seeds = [f"{other}:2" for other in NAMES if other != name]
            self.carry_out(name, core.start(seeds, self.now))
            self.learn(name, 1)

    def learn(self, name: str, revision: int) -> None:
        """Brings a change to one proxy, as if from a third."""
        core = self.cores[name]
        self.carry_out(name, core.handle_peer_message("third", change(revision), self.now))

    def run(self, seconds: float) -> set[str]:
        """Lets time pass; returns who served at any moment of it."""
        served = set()
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for name, core in self.cores.items():
                if name != self.frozen:
                    self.carry_out(name, core.tick(self.now))
            served.update(name for name, core in self.cores.items() if core.is_serving)
        return served

    def carry_out(self, sender: str, effects: list[ProxyEffect]) -> None:
        """Delivers what a core sends, at once; what a frozen process gets is lost."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                name = effect.address.split(":")[0]
                if name != self.frozen:
                    address = f"{sender}:2"
                    core = self.cores[name]
                    self.carry_out(name, core.handle_datagram(effect.data, address, self.now))
            elif isinstance(effect, SendToPeer) and self.links_up and effect.peer != self.frozen:
                core = self.cores[effect.peer]
                self.carry_out(
                    effect.peer, core.handle_peer_message(sender, effect.message, self.now)
                )


class ContactAfterFreezeTest(unittest.TestCase):
    def test_serves_only_with_the_later_configuration(self) -> None:
        proxies = TwoProxies()
        self.assertEqual(proxies.run(SOME_SECONDS), set(NAMES))
        proxies.frozen = "one"
        proxies.learn("two", 2)
        proxies.now += FREEZE_SECONDS
        proxies.links_up = False
        proxies.frozen = ""
        self.assertNotIn("one", proxies.run(SOME_SECONDS))
        self.assertEqual(proxies.cores["one"].configuration.revision, 1)
        proxies.links_up = True
        self.assertIn("one", proxies.run(SOME_SECONDS))
        self.assertEqual(proxies.cores["one"].configuration.revision, 2)

    def test_serves_again_when_nothing_has_changed(self) -> None:
        proxies = TwoProxies()
        proxies.run(SOME_SECONDS)
        proxies.frozen = "one"
        proxies.now += FREEZE_SECONDS
        proxies.frozen = ""
        self.assertIn("one", proxies.run(SOME_SECONDS))


if __name__ == "__main__":
    unittest.main()
