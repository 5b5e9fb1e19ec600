"""Calls over kept connections: reuse, what a closed one costs, and what each failure says."""

import contextlib
import socket
import threading
import time
import unittest

from dewledge.adapters.http_calls import HttpCalls, ServerUnreachable
from dewledge.adapters.http_exchange import AnswerMissing, HttpAnswer, HttpExchange
from dewledge.shell.shared.sockets import bound_address
from tests.processes.relay import Relay

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT = 5.0


class Server:
    """Answers calls; `answers_each` of one connection, then it closes without a further one."""

    def __init__(self, answers_each: int = 1000) -> None:
        self.answers_each = answers_each
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = bound_address(self._listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        for _ in range(self.answers_each):
            request = sock.recv(65536)
            if not request:
                break
            self.requests.append(request)
            sock.sendall(ANSWER)
        if not self.answers_each:
            self.requests.append(sock.recv(65536))
        sock.close()
        self.closed.set()

    def close(self) -> None:
        self._listener.close()


class HttpCallsTest(unittest.TestCase):
    def server(self, answers_each: int = 1000) -> Server:
        server = Server(answers_each)
        self.addCleanup(server.close)
        return server

    def call(self, calls: HttpCalls) -> HttpAnswer:
        return calls.call("POST", "/x", b"body", TIMEOUT, {"Lease": "7"})

    def test_a_connection_is_used_again_and_headers_are_sent(self) -> None:
        server = self.server()
        calls = HttpCalls(server.address, TIMEOUT)
        self.assertEqual([self.call(calls).body for _ in range(3)], [b"ok"] * 3)
        self.assertEqual(server.connections, 1)
        self.assertIn(b"Lease: 7\r\n", server.requests[0])
        self.assertTrue(server.requests[0].endswith(b"\r\n\r\nbody"))

    def test_one_that_was_closed_while_idle_costs_no_call(self) -> None:
        server = self.server(answers_each=1)
        calls = HttpCalls(server.address, TIMEOUT)
        self.call(calls)
        self.assertTrue(server.closed.wait(TIMEOUT))
        self.assertEqual(self.call(calls).status, 200)
        self.assertEqual((server.connections, len(server.requests)), (2, 2))

    # Guards against one timeout for each kept connection after all of them fell silent.
    def test_a_kept_connection_without_an_answer_closes_the_others(self) -> None:
        server, relay, calls = self.relayed_calls(4)
        relay.silence_open_links()
        with self.assertRaises(AnswerMissing):
            calls.call("GET", "/x", b"", 0.2, {})
        self.assertEqual(calls.call("GET", "/x", b"", TIMEOUT, {}).status, 200)
        self.assertEqual(server.connections, 5)

    def test_a_connection_that_answered_meanwhile_is_kept(self) -> None:
        server, relay, calls = self.relayed_calls(1)
        relay.silence_open_links()
        silent = threading.Thread(target=self.call_in_vain, args=(calls,))
        silent.start()
        time.sleep(0.1)
        self.call(calls)
        silent.join()
        self.call(calls)
        self.assertEqual(server.connections, 2)

    def relayed_calls(self, kept: int) -> tuple[Server, Relay, HttpCalls]:
        """Returns calls through a relay, with this many kept connections."""
        server = self.server()
        relay = Relay(server.address)
        self.addCleanup(relay.close)
        calls = HttpCalls(relay.address, TIMEOUT)
        self.keep(calls, kept)
        return server, relay, calls

    def keep(self, calls: HttpCalls, count: int) -> None:
        """Gives `calls` this many connections that have each answered a call."""
        exchanges = [HttpExchange(calls._address, TIMEOUT) for _ in range(count)]
        for exchange in exchanges:
            exchange.request("GET", "/x", b"", TIMEOUT)
            calls._keep(exchange)

    @staticmethod
    def call_in_vain(calls: HttpCalls) -> None:
        with contextlib.suppress(AnswerMissing):
            calls.call("GET", "/x", b"", 0.5, {})

    def test_a_call_whose_answer_is_lost_is_not_sent_again(self) -> None:
        server = self.server(answers_each=0)
        with self.assertRaises(AnswerMissing):
            self.call(HttpCalls(server.address, TIMEOUT))
        self.assertEqual(len(server.requests), 1)

    def test_a_server_that_does_not_listen(self) -> None:
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            with self.assertRaises(ServerUnreachable):
                self.call(HttpCalls(bound_address(bound), TIMEOUT))

    def test_after_a_change_of_address_nothing_goes_to_the_old_one(self) -> None:
        first, second = self.server(), self.server()
        calls = HttpCalls(first.address, TIMEOUT)
        self.call(calls)
        calls.change_address(second.address)
        self.call(calls)
        self.assertEqual((len(first.requests), len(second.requests)), (1, 1))


if __name__ == "__main__":
    unittest.main()
