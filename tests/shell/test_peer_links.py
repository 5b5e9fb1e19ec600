"""Links between proxies: delivery, loss, silent peers and malformed frames."""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.messages import (
    PROTOCOL_VERSION,
    ConfigurationDigest,
    GroupStatusAnswer,
    GroupStatusRequest,
    Hello,
    PeerMessage,
    StatementDone,
    StatementRequest,
    encode,
)
from dewledge.core.shared.positions import LOG_START
from dewledge.shell.proxy.outbound_peer import (
    DEAD_AFTER_SECONDS,
    MAX_WAITING_MESSAGES,
    OVERDUE_SECONDS,
    OutboundLost,
    RequestsUnsent,
)
from dewledge.shell.proxy.peer_link import MAX_OUTBOUND_BYTES
from dewledge.shell.proxy.peer_links import PeerLinks
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.frames import FrameReader, frame_of
from dewledge.shell.shared.sockets import bound_address, parse_address

TIMEOUT_SECONDS = 10.0


def frame_of_message(message: PeerMessage) -> bytes:
    return frame_of(encode(message))


def request(correlation: int, remaining: float = 5.0, key: str | None = None) -> StatementRequest:
    return StatementRequest(
        correlation, "c", "g", "d", Operation.EXECUTE, Access.READ, remaining, idempotency_key=key
    )


def done(correlation: int) -> StatementDone:
    return StatementDone(correlation, "d", DatabaseRole.REPLICA, LOG_START)


class Node:
    """PeerLinks on a separate loop; records all callbacks."""

    def __init__(self, name: str, incarnation: int = 1, answers: bool = True) -> None:
        self.name = name
        self.answers = answers
        self.messages: list[tuple[str, PeerMessage]] = []
        self.lost: list[OutboundLost] = []
        self.unsent: list[RequestsUnsent] = []
        self.opened: list[tuple[str, int]] = []
        self.inbound_ends: list[str] = []
        self.loop = EventLoop()
        hello = Hello(PROTOCOL_VERSION, name, incarnation)
        self.links = PeerLinks(self.loop, hello, "127.0.0.1:0", Random(1), self)
        self.loop.post(self.links.start)
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        self.messages.append((peer, message))
        if isinstance(message, StatementRequest) and self.answers:
            self.links.send(peer, done(message.correlation))
        if isinstance(message, GroupStatusRequest):
            self.links.send(peer, GroupStatusAnswer(message.correlation, message.group, (), ()))

    def inbound_opened(self, peer: str, incarnation: int) -> None:
        self.opened.append((peer, incarnation))

    def outbound_lost(self, lost: OutboundLost) -> None:
        self.lost.append(lost)

    def requests_unsent(self, unsent: RequestsUnsent) -> None:
        self.unsent.append(unsent)

    def inbound_lost(self, peer: str) -> None:
        self.inbound_ends.append(peer)

    def set_address(self, name: str, address: str) -> None:
        self.loop.post(lambda: self.links.set_addresses({name: address}))

    def send(self, peer: str, message: PeerMessage) -> None:
        self.loop.post(lambda: self.links.send(peer, message))

    def close(self) -> None:
        self.loop.post(self.links.close)
        self.loop.stop()
        self._thread.join(TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), "the loop hangs"


class SilentPeer:
    """Accepts links and sends a Hello, but nothing else, not even replies to heartbeats."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = bound_address(self._listener)
        self._sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(sock)
            sock.sendall(frame_of_message(Hello(PROTOCOL_VERSION, self._name, 1)))

    def close(self) -> None:
        self._listener.close()
        for sock in self._sockets:
            sock.close()


class PeerLinksTest(unittest.TestCase):
    def node(self, name: str, **options: object) -> Node:
        node = Node(name, **options)  # type: ignore[arg-type]
        self.addCleanup(node.close)
        return node

    def pair(self, **options: object) -> tuple[Node, Node]:
        first, second = self.node("a"), self.node("b", **options)
        first.set_address("b", second.links.address)
        second.set_address("a", first.links.address)
        return first, second

    def await_state(self, what: str, is_reached: Callable[[], bool]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not is_reached():
            self.assertLess(time.monotonic(), deadline, what)
            time.sleep(0.005)

    def silent(self) -> SilentPeer:
        peer = SilentPeer("s")
        self.addCleanup(peer.close)
        return peer

    def test_requests_are_answered_over_one_link(self) -> None:
        first, second = self.pair()
        for correlation in range(200):
            first.send("b", request(correlation))
        self.await_state("answers", lambda: len(first.messages) == 200)
        self.assertEqual([item.correlation for _, item in first.messages], list(range(200)))  # type: ignore[union-attr]
        self.assertEqual(second.opened, [("a", 1)])

    def test_concurrent_requests_in_both_directions(self) -> None:
        first, second = self.pair()
        for correlation in range(50):
            first.send("b", request(correlation))
            second.send("a", request(correlation))
        self.await_state("all", lambda: len(first.messages) == len(second.messages) == 100)
        self.assertEqual((first.lost, second.lost), ([], []))

    def test_peer_that_does_not_listen(self) -> None:
        first = self.node("a")
        unused = socket.create_server(("127.0.0.1", 0))
        address = bound_address(unused)
        unused.close()
        first.set_address("b", address)
        first.send("b", request(7))
        self.await_state("the loss", lambda: bool(first.lost))
        self.assertEqual(first.lost[0].unsent_requests, (7,))

    def test_requests_to_unknown_peer_are_reported_unsent_without_lost_link(self) -> None:
        first = self.node("a")
        first.send("nobody", request(7))
        first.send("nobody", request(8))
        self.await_state("both are reported as unsent", lambda: len(first.unsent) == 2)
        reported = [(item.peer, item.requests) for item in first.unsent]
        self.assertEqual(reported, [("nobody", (7,)), ("nobody", (8,))])
        self.assertEqual(first.lost, [])

    def test_request_beyond_queue_limit_is_reported_unsent_without_lost_link(self) -> None:
        first, second = self.pair()

        def send_too_much() -> None:
            for correlation in range(MAX_WAITING_MESSAGES + 1):
                first.links.send("b", request(correlation))

        first.loop.post(send_too_much)
        self.await_state(
            "all others are answered", lambda: len(first.messages) == MAX_WAITING_MESSAGES
        )
        self.assertEqual([item.requests for item in first.unsent], [(MAX_WAITING_MESSAGES,)])
        self.assertEqual((first.lost, len(second.messages)), ([], MAX_WAITING_MESSAGES))

    def test_hello_of_wrong_peer_closes_link(self) -> None:
        first, second = self.node("a"), self.node("b")
        first.set_address("c", second.links.address)
        first.send("c", request(7))
        self.await_state("the loss", lambda: bool(first.lost))
        self.assertEqual(first.lost[0].unsent_requests, (7,))
        self.assertEqual(second.messages, [])

    def test_link_to_silent_peer_is_closed_with_unknown_request_results(self) -> None:
        first = self.node("a")
        first.set_address("s", self.silent().address)
        first.send("s", request(7))
        self.await_state("the loss", lambda: bool(first.lost))
        self.assertIn("silent", first.lost[0].reason)
        self.assertEqual(first.lost[0].unsent_requests, ())

    def test_requests_are_withheld_while_heartbeat_reply_is_overdue(self) -> None:
        node, silent = self.node("a"), self.silent()
        node.set_address("s", silent.address)
        node.send("s", request(1, remaining=60.0))
        time.sleep((OVERDUE_SECONDS + DEAD_AFTER_SECONDS) / 2)
        node.send("s", request(2, remaining=60.0))
        self.await_state("the link is closed", lambda: bool(node.lost))
        self.assertEqual(node.lost[0].unsent_requests, (2,))

    def test_withheld_requests_are_sent_when_peer_replies(self) -> None:
        first, second = self.pair()
        first.send("b", request(1))
        self.await_state("the first is answered", lambda: len(first.messages) == 1)
        second.answers = False
        first.send("b", request(2, remaining=60.0))
        self.await_state("the second arrived", lambda: len(second.messages) == 2)
        second.loop.post(lambda: time.sleep((OVERDUE_SECONDS + DEAD_AFTER_SECONDS) / 2))
        time.sleep(OVERDUE_SECONDS)
        second.answers = True
        first.send("b", request(3, remaining=60.0))
        self.await_state("the third is answered", lambda: len(first.messages) == 2)
        self.assertEqual(first.lost, [])

    def test_slow_peer_that_answers_heartbeats_keeps_link(self) -> None:
        first, second = self.pair(answers=False)
        first.send("b", request(7))
        self.await_state("the request", lambda: bool(second.messages))
        time.sleep(1.5)  # longer than the limit of silence
        self.assertEqual(first.lost, [])
        second.send("a", done(7))
        self.await_state("the answer", lambda: bool(first.messages))

    def test_restarted_peer_is_reconnected(self) -> None:
        first = self.node("a")
        second = Node("b")
        first.set_address("b", second.links.address)
        first.send("b", request(1))
        self.await_state("the answer", lambda: bool(first.messages))
        second.close()
        self.await_state("the loss", lambda: bool(first.lost))
        third = self.node("b", incarnation=2)
        first.set_address("b", third.links.address)
        first.send("b", request(2))
        self.await_state("the second answer", lambda: len(first.messages) == 2)

    def test_acceptor_reports_link_end_and_restarted_peer(self) -> None:
        second = self.node("b")
        first = Node("a", incarnation=1)
        first.set_address("b", second.links.address)
        first.send("b", request(1))
        self.await_state("the link", lambda: second.opened == [("a", 1)])
        first.close()
        self.await_state("the end", lambda: second.inbound_ends == ["a"])
        restarted = self.node("a", incarnation=2)
        restarted.set_address("b", second.links.address)
        restarted.send("b", request(1))
        self.await_state("the new link", lambda: second.opened == [("a", 1), ("a", 2)])

    def test_peer_that_does_not_read_is_disconnected(self) -> None:
        first = self.node("a")
        first.set_address("s", self.silent().address)
        big = "k" * 60_000
        count = 4 * MAX_OUTBOUND_BYTES // len(big)
        for correlation in range(count):
            first.send("s", request(correlation, key=big))
        self.await_state("the loss", lambda: bool(first.lost))
        unsent = sum(len(lost.unsent_requests) for lost in first.lost)
        self.assertGreater(unsent, 0)

    def test_status_request_uses_outbound_link_despite_open_inbound_link(self) -> None:
        first, second = self.pair()
        first.send("b", request(1))
        self.await_state("the link", lambda: bool(first.messages))
        second.send("a", GroupStatusRequest(5, "g"))
        answer = ("a", GroupStatusAnswer(5, "g", (), ()))
        self.await_state("the answer", lambda: answer in second.messages)

    def test_control_messages_use_open_inbound_link(self) -> None:
        first, second = self.pair()
        first.send("b", request(1))
        self.await_state("the link", lambda: bool(first.messages))
        second.send("a", ConfigurationDigest(3))
        self.await_state("the digest", lambda: ("b", ConfigurationDigest(3)) in first.messages)
        self.assertEqual(first.opened, [])


HELLO = frame_of_message(Hello(PROTOCOL_VERSION, "x", 1))
BAD_FRAMES = [
    ("no greeting", frame_of_message(ConfigurationDigest(1))),
    ("other version", frame_of_message(Hello(PROTOCOL_VERSION + 1, "x", 1))),
    ("too long", HELLO + b"\xff\xff\xff\xff"),
    ("no cbor", HELLO + b"\0\0\0\1\xff"),
    ("unknown message", HELLO + b"\0\0\0\7\x81\x65other"),
    ("second greeting cut short", HELLO + b"\0\0\0\2\x81"),
]


class BadFramesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node("b")
        self.addCleanup(self.node.close)

    def send_and_read_to_end(self, data: bytes, ends_input: bool = True) -> None:
        with socket.create_connection(parse_address(self.node.links.address), 10) as sock:
            sock.sendall(data)
            if ends_input:
                sock.shutdown(socket.SHUT_WR)
            try:
                while sock.recv(65536):
                    pass
            except ConnectionResetError:
                pass

    def test_bad_frames_close_the_link(self) -> None:
        for name, data in BAD_FRAMES[:-1]:
            with self.subTest(name):
                self.send_and_read_to_end(data, ends_input=False)

    def test_frame_truncated_by_end_of_input(self) -> None:
        self.send_and_read_to_end(BAD_FRAMES[-1][1])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=60),
                st.sampled_from([HELLO, b"\0\0\0\0", b"\0\0\0\x05\x81\x64ping"]),
                st.binary(max_size=40).map(lambda body: len(body).to_bytes(4, "big") + body),
            ),
            max_size=6,
        )
    )
    def test_arbitrary_bytes_close_the_link(self, pieces: list[bytes]) -> None:
        self.send_and_read_to_end(b"".join(pieces))

    def test_node_answers_requests(self) -> None:
        peer = Node("a")
        self.addCleanup(peer.close)
        peer.set_address("b", self.node.links.address)
        peer.send("b", request(1))
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not peer.messages and time.monotonic() < deadline:
            time.sleep(0.005)
        self.assertTrue(peer.messages)


class FrameReaderTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.binary(max_size=50), max_size=10), st.integers(1, 30))
    def test_frames_survive_any_split(self, bodies: list[bytes], step: int) -> None:
        data = b"".join(len(body).to_bytes(4, "big") + body for body in bodies)
        reader = FrameReader()
        read: list[bytes] = []
        for start in range(0, len(data), step):
            read += reader.feed(data[start : start + step])
        self.assertEqual(read, bodies)


if __name__ == "__main__":
    unittest.main()
