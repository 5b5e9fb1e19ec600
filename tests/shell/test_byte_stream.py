"""Large answers, peers that read slowly, and the close of a connection after its last answer."""

import contextlib
import socket
import threading
import time
import unittest
from collections.abc import Callable

from dewledge.shell.pooler.links.byte_stream import (
    CLOSE_LINGER_SECONDS,
    MAX_UNSENT_BYTES,
    ByteStream,
)
from dewledge.shell.shared.event_loop import EventLoop

TIMEOUT_SECONDS = 10.0
MEBIBYTE = 1024 * 1024


class ByteStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.received: list[bytes] = []
        self.ended = 0
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.peer = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
        self.peer.settimeout(TIMEOUT_SECONDS)
        self.addCleanup(self.peer.close)
        self.stream = ByteStream(self.loop, ours, self.received.append, self.on_ended)
        thread = threading.Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_SECONDS)
        self.addCleanup(self.loop.stop)
        self.addCleanup(self.stream.close)

    def on_ended(self) -> None:
        self.ended += 1

    def run_on_loop(self, *actions: Callable[[], None]) -> None:
        """Runs actions on the loop's thread, one after the other, and waits for their end."""
        for action in actions:
            done = threading.Event()
            self.loop.post(action)
            self.loop.post(done.set)
            self.assertTrue(done.wait(TIMEOUT_SECONDS))

    def read_until_end(self) -> int:
        """Reads until the connection ends; returns the number of bytes."""
        count = 0
        while data := self.peer.recv(MEBIBYTE):
            count += len(data)
        return count

    def test_answer_larger_than_the_limit_of_unsent_bytes_is_sent_whole(self) -> None:
        """Guards against a large answer whose own size ends the connection before it is sent."""
        size = MAX_UNSENT_BYTES + MEBIBYTE
        self.run_on_loop(lambda: self.stream.send(bytes(size)), self.stream.close_after_sending)
        self.assertEqual(self.read_until_end(), size)

    def test_peer_that_reads_nothing_is_disconnected_at_the_next_answer(self) -> None:
        self.run_on_loop(lambda: self.stream.send(bytes(3 * MAX_UNSENT_BYTES)))
        self.assertEqual(self.ended, 0)
        self.run_on_loop(lambda: self.stream.send(b"next"))
        self.assertEqual(self.ended, 1)

    def test_stream_counts_as_sending_until_the_peer_has_read(self) -> None:
        """Guards against a stop that takes a connection for done while it still sends."""
        self.run_on_loop(
            lambda: self.stream.send(bytes(4 * MEBIBYTE)), self.stream.close_after_sending
        )
        self.assertTrue(self.stream.is_sending)
        self.assertEqual(self.read_until_end(), 4 * MEBIBYTE)
        self.assertFalse(self.stream.is_sending)

    def test_connection_at_rest_is_closed_without_reading_more(self) -> None:
        """Guards against a request that is read and never answered, because it met the close."""
        self.run_on_loop(lambda: self.stream.send(b"answer"))
        time.sleep(CLOSE_LINGER_SECONDS + 0.1)
        self.run_on_loop(self.stream.close_after_sending)
        self.assertTrue(self.stream.closed)
        self.assertEqual(self.read_until_end(), len(b"answer"))
        self.assertEqual(self.received, [])

    def test_request_that_meets_the_close_after_an_answer_is_not_read(self) -> None:
        self.run_on_loop(lambda: self.stream.send(b"answer"), self.stream.close_after_sending)
        self.assertEqual(self.peer.recv(MEBIBYTE), b"answer")
        self.peer.send(b"request")
        started = time.monotonic()
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(self.peer.recv(MEBIBYTE), b"")
        self.run_on_loop(lambda: None)
        self.assertTrue(self.stream.closed)
        self.assertLess(time.monotonic() - started, CLOSE_LINGER_SECONDS)

    def test_input_does_not_cut_an_answer_that_is_on_its_way(self) -> None:
        """Guards against a reset by unread input, which would discard the rest of the answer."""
        size = 4 * MEBIBYTE
        self.run_on_loop(lambda: self.stream.send(bytes(size)), self.stream.close_after_sending)
        self.peer.send(b"early input")
        self.assertEqual(self.read_until_end(), size)
        self.assertEqual(self.received, [])


if __name__ == "__main__":
    unittest.main()
