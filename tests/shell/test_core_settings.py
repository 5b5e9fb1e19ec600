"""Every limit and timing of the settings file has an effect on some part of the proxy."""

import unittest

import msgspec

from dewledge.settings import LimitSettings, ProxySettings, TimingSettings
from dewledge.shell.proxy.core_settings import core_settings, deadline_bounds, http_limits

USED_BY_PROXY_SERVER = {"leave_bound", "platform_threads"}
"""Read by `ProxyServer` itself."""


def settings(limits: LimitSettings, timings: TimingSettings) -> ProxySettings:
    """Returns the settings of a proxy."""
    return ProxySettings(
        name="proxy-1",
        zone="accra-a",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        gossip_address="127.0.0.1:0",
        platform_address="127.0.0.1:7300",
        session_keys=("a session key of this test only, long enough",),
        limits=limits,
        timings=timings,
    )


def parts(limits: LimitSettings, timings: TimingSettings) -> tuple[msgspec.Struct, ...]:
    """Returns the settings of all parts."""
    chosen = settings(limits, timings)
    return core_settings(chosen), http_limits(chosen), deadline_bounds(chosen)


class CoreSettingsTest(unittest.TestCase):
    def test_each_setting_has_an_effect(self) -> None:
        limits, timings = LimitSettings(), TimingSettings()
        without_change = parts(limits, timings)
        for section in (limits, timings):
            for name, value in section:
                changed = section.model_copy(update={name: value * 2 + 1})
                chosen = (changed, timings) if section is limits else (limits, changed)
                has_effect = parts(*chosen) != without_change
                with self.subTest(name):
                    self.assertEqual(has_effect, name not in USED_BY_PROXY_SERVER)

    def test_the_store_call_timeout_bounds_proposals_and_polls(self) -> None:
        core = core_settings(settings(LimitSettings(), TimingSettings(store_call_timeout=0.7)))
        self.assertEqual(core.acceptance.retry.call_timeout, 0.7)
        self.assertEqual(core.poller.retry.call_timeout, 0.7)


if __name__ == "__main__":
    unittest.main()
