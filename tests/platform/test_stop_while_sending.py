"""A planned stop waits until the answers that it has begun to send are sent."""

import socket
import time

import msgspec

from dewledge.pooler_settings import PoolerSettings, PoolerTimings
from tests.platform.test_pooler_process import PoolerCase

ROWS = 8
ROW_BYTES = 1024 * 1024 - 64
READ_SECONDS = 2.4
STOP_BOUND_SECONDS = 3.0
WINDOW_BYTES = 64 * 1024
SEGMENT_BYTES = 1448
"""As on a network: with the window and the segments of loopback the system buffers the answer."""


class StopWhileSendingTest(PoolerCase):
    def settings_of(self, name: str) -> PoolerSettings:
        settings = super().settings_of(name)
        return msgspec.structs.replace(
            settings, timings=PoolerTimings(stop_bound=STOP_BOUND_SECONDS)
        )

    def test_answer_to_a_slow_reader_is_whole(self) -> None:
        """Guards against a stop that ends the process at half of its bound, in a large answer."""
        for database in self.group.databases.values():
            database.values["fish"] = "x" * ROW_BYTES
            database.row_count = ROWS
        host, port = self.processes[0].client_address.rsplit(":", 1)
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            reader.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            reader.settimeout(5.0)
            reader.connect((host, int(port)))
            reader.sendall(b"STARTUP notes test\r\n")
            self.assertTrue(reader.recv(4096).startswith(b"READY"))
            reader.sendall(b"QUERY 00000000000000aa READ fish\r\n")
            received = self.read_slowly(reader)
        self.assertGreater(len(received), ROWS * ROW_BYTES)
        self.assertTrue(received.endswith(b"\r\n"))
        self.assertIn(b"\r\nREADY I ", received[-100:])

    def read_slowly(self, reader: socket.socket) -> bytes:
        """Reads an answer within READ_SECONDS; the process is stopped at its first bytes."""
        received = reader.recv(4096)
        self.processes[0].leave()
        started = time.monotonic()
        while data := reader.recv(16 * 1024):
            received += data
            due = started + READ_SECONDS * len(received) / (ROWS * ROW_BYTES)
            time.sleep(max(due - time.monotonic(), 0.0))
        return received
