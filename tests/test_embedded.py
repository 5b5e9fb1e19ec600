"""A stopped embedded cluster has closed its sockets, and left none to the garbage collector."""

import gc
import threading
import time
import unittest
import warnings

from dewledge.embedded import ClusterPlan, EmbeddedCluster
from dewledge.standin.deployments import MENUS

THREADS = ("jobs-", "status-", "platform")
PATIENCE_SECONDS = 20.0


def await_worker_threads() -> None:
    """Waits until the threads of stopped proxies have ended."""
    give_up_at = time.monotonic() + PATIENCE_SECONDS
    while any(thread.name.startswith(THREADS) for thread in threading.enumerate()):
        if time.monotonic() > give_up_at:
            raise AssertionError("the worker threads do not end")
        time.sleep(0.02)


class StoppedClusterTest(unittest.TestCase):
    def test_leaves_no_socket_to_the_garbage_collector(self) -> None:
        await_worker_threads()
        gc.collect()
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always", ResourceWarning)
            self.use_cluster()
            await_worker_threads()
            gc.collect()
        self.assertEqual([str(item.message) for item in caught], [])

    def use_cluster(self) -> None:
        """Runs a cluster with all kinds of clients, one planned stop and no other trace."""
        group = MENUS.groups[0]
        with EmbeddedCluster(ClusterPlan(MENUS, groups=(group,))) as cluster:
            self.assertEqual(cluster.operator().get("/v1/status").status, 200)
            self.assertGreater(len(cluster.group_faults(group).statuses()), 0)
            self.assertGreater(len(cluster.platform_faults().calls()), 0)
            cluster.leave_proxy("proxy-1")


if __name__ == "__main__":
    unittest.main()
