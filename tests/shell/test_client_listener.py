"""Sessions over sockets: failed logins, malformed startup messages and a planned stop."""

import socket
import threading
import time
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.events import PoolingEvent, SessionDenied
from dewledge.core.pooler.load.failed_login_throttle import ANSWER_DELAY_SECONDS, ANSWERS_PER_SECOND
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.shared.caller_credentials import credential_digest
from dewledge.platform.wire_codec import WireClientCodec
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.sockets import listen_tcp, parse_address
from tests.core.pooler.harness import PoolerHarness

KEY, CALLER, DATABASE = "k3y-of-north", "north", "read_own_writes"
TIMEOUT_SECONDS = 10.0


class ListenerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.events: list[PoolingEvent] = []
        model = PoolerHarness().services
        self.services = PoolServices(self.loop, self.events.append)
        self.services.groups = model.groups
        self.services.routes = msgspec.structs.replace(
            model.routes, callers={credential_digest(KEY): CALLER}
        )
        listening, _ = listen_tcp("127.0.0.1:0")
        self.listener = ClientListener(self.loop, listening, self.services, WireClientCodec, 2000)
        self.address = parse_address(self.listener.address)
        self.loop.post(self.listener.start)
        thread = threading.Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_SECONDS)
        self.addCleanup(self.loop.stop)
        self.addCleanup(lambda: self.loop.post(self.listener.close))

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address, TIMEOUT_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def start(self, key: str) -> bytes:
        return f"STARTUP {DATABASE} {key}\r\n".encode("latin-1")

    def answer(self, data: bytes, ends: bool = False) -> bytes:
        """Returns the listener's answer to `data`, up to READY or the end of the connection."""
        with socket.create_connection(self.address, TIMEOUT_SECONDS) as sock:
            sock.sendall(data)
            if ends:
                sock.shutdown(socket.SHUT_WR)
            received = b""
            while not received.startswith(b"READY"):
                try:
                    piece = sock.recv(4096)
                except ConnectionResetError:
                    break
                if not piece:
                    break
                received += piece
            return received


class RefusalTest(ListenerCase):
    def test_flood_of_failed_logins_does_not_delay_valid_client(self) -> None:
        flood = [self.connect() for _ in range(400)]
        started_at = time.monotonic()
        for sock in flood:
            sock.sendall(self.start("wrong"))
        waits = []
        for _ in range(20):
            asked = time.monotonic()
            self.assertTrue(self.answer(self.start(KEY)).startswith(b"READY"))
            waits.append(time.monotonic() - asked)
        self.assertLess(max(waits), ANSWER_DELAY_SECONDS / 2)
        received = [self.read_to_end(sock) for sock in flood]
        answered = [text for text, _ in received if text]
        self.assertEqual(len(set(answered)), 1)
        early = [
            text for text, at in received if text and at - started_at < ANSWER_DELAY_SECONDS * 0.9
        ]
        self.assertLessEqual(len(early), 3 * ANSWERS_PER_SECOND)
        self.assertLess(len(answered), len(flood))
        time.sleep(1.2)
        denied = [event for event in self.events if isinstance(event, SessionDenied)]
        self.assertLessEqual(len(denied), 6)
        self.assertEqual(sum(event.tries for event in denied), len(flood))

    def read_to_end(self, sock: socket.socket) -> tuple[bytes, float]:
        received = b""
        while True:
            try:
                piece = sock.recv(4096)
            except ConnectionResetError:
                piece = b""
            if not piece:
                return received, time.monotonic()
            received += piece

    def test_disconnect_cancels_delayed_refusal(self) -> None:
        flood = [self.connect() for _ in range(60)]
        for sock in flood:
            sock.sendall(self.start("wrong"))
        self.await_state(
            "a refusal is delayed", lambda: self.listener._throttle.delayed_refusals > 0
        )
        for sock in flood:
            sock.close()
        self.await_state(
            "no refusal is delayed", lambda: self.listener._throttle.delayed_refusals == 0
        )
        self.await_state("all connections are closed", lambda: not self.listener.connections)

    def await_state(self, what: str, is_reached: object) -> None:
        assert callable(is_reached)
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not is_reached():
            self.assertLess(time.monotonic(), deadline, what)
            time.sleep(0.005)


class StartupFuzzTest(ListenerCase):
    def test_all_wrong_keys_get_same_answer(self) -> None:
        keys = [
            "wrong",
            CALLER,
            KEY[:-1],
            KEY + "x",
            KEY.upper(),
            credential_digest(KEY),
            "-",
            "\xff",
        ]
        self.assertEqual(len({self.answer(self.start(key)) for key in keys}), 1)
        self.assertTrue(self.answer(self.start(KEY)).startswith(b"READY"))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.one_of(
            st.binary(max_size=80),
            st.binary(max_size=40).map(lambda key: b"STARTUP read_own_writes " + key + b"\r\n"),
            st.text(alphabet=" \t\r\nSTARUPkey3-", max_size=40).map(
                lambda text: f"STARTUP {text}\r\n".encode()
            ),
            st.integers(1, 20000).map(lambda size: b"STARTUP d " + b"k" * size + b"\r\n"),
        )
    )
    def test_arbitrary_bytes_open_no_session(self, data: bytes) -> None:
        if KEY.encode() in data:
            return
        self.assertNotIn(b"READY", self.answer(data, ends=True))

    def test_revoked_key_gets_answer_of_unknown_key(self) -> None:
        unknown_key_answer = self.answer(self.start("wrong"))
        routes = msgspec.structs.replace(self.services.routes, callers={})
        self.services.routes = routes
        self.assertEqual(self.answer(self.start(KEY)), unknown_key_answer)


class PlannedStopTest(ListenerCase):
    def test_statement_that_arrived_before_planned_stop_is_answered(self) -> None:
        """A statement that arrives while the loop is busy is read before sessions are closed."""
        sock = self.connect()
        sock.sendall(self.start(KEY))
        self.assertTrue(sock.recv(100).startswith(b"READY"))
        is_sent, is_over = threading.Event(), threading.Event()

        def leave_when_sent() -> None:
            is_sent.wait(TIMEOUT_SECONDS)
            for connection in list(self.listener.connections):
                connection.leave()
            is_over.set()

        self.loop.post(leave_when_sent)
        sock.sendall(b"QUERY s1 SET tz north\r\n")
        time.sleep(0.05)
        is_sent.set()
        self.assertTrue(is_over.wait(TIMEOUT_SECONDS))
        received = b""
        while piece := sock.recv(100):
            received += piece
        self.assertIn(b"COMPLETE", received)


if __name__ == "__main__":
    unittest.main()
