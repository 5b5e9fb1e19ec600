"""Each proxy in turn is stopped as planned, under load."""

import signal
import time

from dewledge.core.proxy.calls import Outcome
from dewledge.simulation.history import StopRecord
from tests.process_cluster import ProxyProcess
from tests.processes.observed_cluster import ClusterTestCase, Observation


class PlannedStopTest(ClusterTestCase):
    def test_each_proxy_in_turn(self) -> None:
        observation = Observation(self.cluster, "planned stops")
        stops = []
        try:
            for proxy in list(self.cluster.proxies.values()):
                observation.load.await_progress()
                stops.append(self._stop(proxy))
                self.cluster.add_proxy()
                observation.load.await_progress()
        finally:
            history = observation.finish()
        history.stops = stops
        self.check_promises(history)
        resets = [it for it in history.requests if it.reset]
        self.assertEqual(resets, [], "no caller sees a reset")
        unknown = [it for it in history.requests if it.outcome in (None, Outcome.UNKNOWN)]
        self.assertEqual(unknown, [], "each accepted request is answered")

    def _stop(self, proxy: ProxyProcess) -> StopRecord:
        announced_at = time.monotonic()
        proxy.send(signal.SIGTERM)
        del self.cluster.proxies[proxy.name]
        self.assertEqual(proxy.wait(), 0, proxy.log[-2000:])
        self.assertIn("unfinished=0", proxy.log)
        return StopRecord(proxy.name, announced_at, time.monotonic())
