"""Sessions over sockets: what clients without a key cost, and any bytes as a first message."""

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
LIMIT_SECONDS = 10.0


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
        self.addCleanup(thread.join, LIMIT_SECONDS)
        self.addCleanup(self.loop.stop)
        self.addCleanup(lambda: self.loop.post(self.listener.close))

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address, LIMIT_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def start(self, key: str) -> bytes:
        return f"STARTUP {DATABASE} {key}\r\n".encode("latin-1")

    def answer(self, data: bytes, ends: bool = False) -> bytes:
        """Returns what a connection that sends `data` is told, READY or all up to its end."""
        with socket.create_connection(self.address, LIMIT_SECONDS) as sock:
            sock.sendall(data)
            if ends:
                sock.shutdown(socket.SHUT_WR)
            told = b""
            while not told.startswith(b"READY"):
                try:
                    piece = sock.recv(4096)
                except ConnectionResetError:
                    break
                if not piece:
                    break
                told += piece
            return told


class RefusalTest(ListenerCase):
    def test_a_thousand_tries_a_second_beside_a_client_with_a_key(self) -> None:
        flood = [self.connect() for _ in range(400)]
        began = time.monotonic()
        for sock in flood:
            sock.sendall(self.start("wrong"))
        waits = []
        for _ in range(20):
            asked = time.monotonic()
            self.assertTrue(self.answer(self.start(KEY)).startswith(b"READY"))
            waits.append(time.monotonic() - asked)
        self.assertLess(max(waits), ANSWER_DELAY_SECONDS / 2)
        told = [self.read_to_end(sock) for sock in flood]
        answered = [text for text, _ in told if text]
        self.assertEqual(len(set(answered)), 1)
        early = [text for text, at in told if text and at - began < ANSWER_DELAY_SECONDS * 0.9]
        self.assertLessEqual(len(early), 3 * ANSWERS_PER_SECOND)
        self.assertLess(len(answered), len(flood))
        time.sleep(1.2)
        denied = [event for event in self.events if isinstance(event, SessionDenied)]
        self.assertLessEqual(len(denied), 6)
        self.assertEqual(sum(event.tries for event in denied), len(flood))

    def read_to_end(self, sock: socket.socket) -> tuple[bytes, float]:
        told = b""
        while True:
            try:
                piece = sock.recv(4096)
            except ConnectionResetError:
                piece = b""
            if not piece:
                return told, time.monotonic()
            told += piece

    def test_a_client_that_goes_while_it_waits_makes_room(self) -> None:
        flood = [self.connect() for _ in range(60)]
        for sock in flood:
            sock.sendall(self.start("wrong"))
        self.await_state("some wait", lambda: self.listener._throttle.delayed_refusals > 0)
        for sock in flood:
            sock.close()
        self.await_state("none waits", lambda: self.listener._throttle.delayed_refusals == 0)
        self.await_state("all are gone", lambda: not self.listener.connections)

    def await_state(self, what: str, is_reached: object) -> None:
        assert callable(is_reached)
        give_up_at = time.monotonic() + LIMIT_SECONDS
        while not is_reached():
            self.assertLess(time.monotonic(), give_up_at, what)
            time.sleep(0.005)


class StartupFuzzTest(ListenerCase):
    def test_no_answer_tells_a_guesser_more(self) -> None:
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
    def test_any_bytes_start_no_session(self, data: bytes) -> None:
        if KEY.encode() in data:
            return
        self.assertNotIn(b"READY", self.answer(data, ends=True))

    def test_a_key_taken_away_is_refused_as_one_never_given(self) -> None:
        never = self.answer(self.start("wrong"))
        routes = msgspec.structs.replace(self.services.routes, callers={})
        self.services.routes = routes
        self.assertEqual(self.answer(self.start(KEY)), never)


class LeavingTest(ListenerCase):
    def test_what_has_come_before_a_planned_stop_closes_the_session_is_answered(self) -> None:
        """The loop was busy while the statement came; the sweep that closes sessions runs first."""
        sock = self.connect()
        sock.sendall(self.start(KEY))
        self.assertTrue(sock.recv(100).startswith(b"READY"))
        is_sent, is_over = threading.Event(), threading.Event()

        def leave_late() -> None:
            is_sent.wait(LIMIT_SECONDS)
            for connection in list(self.listener.connections):
                connection.leave()
            is_over.set()

        self.loop.post(leave_late)
        sock.sendall(b"QUERY s1 SET tz north\r\n")
        time.sleep(0.05)
        is_sent.set()
        self.assertTrue(is_over.wait(LIMIT_SECONDS))
        told = b""
        while piece := sock.recv(100):
            told += piece
        self.assertIn(b"COMPLETE", told)


if __name__ == "__main__":
    unittest.main()
