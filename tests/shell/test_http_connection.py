"""A connection answers valid requests in order, and refuses malformed, oversized and slow ones."""

import json
import threading
import unittest

from dewledge.errors import ErrorCode
from dewledge.shell.shared.http_messages import Exchange, HttpLimits, HttpResponse
from tests.shell.http_harness import HttpHarness, echo, read_answers

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def post(path: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body)


REFUSED = [
    # name, bytes, status, code
    ("no HTTP", b"hello\r\n\r\n", 400, ErrorCode.MALFORMED_REQUEST),
    ("unknown method", b"BREW / HTTP/1.1\r\n\r\n", 400, ErrorCode.MALFORMED_REQUEST),
    ("bad version", b"GET / HTTP/9.9\r\n\r\n", 400, ErrorCode.MALFORMED_REQUEST),
    ("bad length", b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, None),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        400,
        ErrorCode.MALFORMED_REQUEST,
    ),
    (
        "length and chunks",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
        400,
        ErrorCode.MALFORMED_REQUEST,
    ),
    (
        "upgrade",
        b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        400,
        ErrorCode.MALFORMED_REQUEST,
    ),
    (
        "two credentials",
        b"GET / HTTP/1.1\r\nAuthorization: a\r\nAuthorization: b\r\n\r\n",
        400,
        ErrorCode.MALFORMED_REQUEST,
    ),
    ("long target", b"GET /" + b"a" * 1100 + b" HTTP/1.1\r\n\r\n", 431, ErrorCode.TOO_LARGE),
    (
        "long header",
        b"GET / HTTP/1.1\r\nA: " + b"a" * 1100 + b"\r\n\r\n",
        431,
        ErrorCode.TOO_LARGE,
    ),
    (
        "many headers",
        b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 400 + b"\r\n",
        431,
        ErrorCode.TOO_LARGE,
    ),
    (
        "announced large body",
        b"POST / HTTP/1.1\r\nContent-Length: 2049\r\n\r\n",
        413,
        ErrorCode.TOO_LARGE,
    ),
    (
        "chunked large body",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"400\r\n" * 1
        + b"a" * 1024
        + b"\r\n800\r\n"
        + b"a" * 2048
        + b"\r\n0\r\n\r\n",
        413,
        ErrorCode.TOO_LARGE,
    ),
]


class HttpConnectionTest(unittest.TestCase):
    def harness(self, **options: object) -> HttpHarness:
        harness = HttpHarness(**options)  # type: ignore[arg-type]
        self.addCleanup(harness.close)
        return harness

    def test_refusals_are_coded_and_close_the_connection(self) -> None:
        harness = self.harness()
        for name, data, status, code in REFUSED:
            with self.subTest(name):
                (answer,) = harness.exchange_to_end(data)
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.headers["connection"], "close")
                body = json.loads(answer.body)
                self.assertEqual(body["outcome"], "not_run")
                self.assertEqual(body["code"], code or ErrorCode.MALFORMED_REQUEST)

    def test_requests_before_a_fault_are_answered_first(self) -> None:
        answers = self.harness().exchange_to_end(GET + GET + b"nonsense\r\n\r\n" + GET)
        self.assertEqual([answer.status for answer in answers], [200, 200, 400])

    def test_connection_persists_and_split_bytes_are_one_request(self) -> None:
        harness = self.harness()
        data = post("/b", b"body")
        with harness.connect() as sock:
            for index in range(len(data)):
                sock.sendall(data[index : index + 1])
            (first,) = read_answers(sock, 1)
            sock.sendall(GET)
            (second,) = read_answers(sock, 1)
        self.assertEqual((first.body, second.body), (b"POST /b body", b"GET /a "))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        waiting: list[Exchange] = []
        all_here = threading.Event()

        def keep(exchange: Exchange) -> None:
            waiting.append(exchange)
            if len(waiting) == 4:
                all_here.set()

        harness = self.harness(handler=keep)
        with harness.connect() as sock:
            sock.sendall(b"".join(post(f"/{index}", b"x") for index in range(4)))
            self.assertTrue(all_here.wait(10))
            for exchange in reversed(waiting):
                harness.loop.post(lambda it=exchange: echo(it))
            answers = read_answers(sock, 4)
        expected = [f"POST /{index} x".encode() for index in range(4)]
        self.assertEqual([answer.body for answer in answers], expected)

    def test_more_than_the_bound_in_flight_wait_unread(self) -> None:
        taken: list[Exchange] = []
        most = 0

        def answer_later(exchange: Exchange) -> None:
            nonlocal most
            taken.append(exchange)
            most = max(most, len(taken))

            def respond() -> None:
                taken.remove(exchange)
                echo(exchange)

            harness.loop.call_later(0.001, respond)

        harness = self.harness(handler=answer_later)
        with harness.connect() as sock:
            sock.sendall(GET * 200)
            answers = read_answers(sock, 200)
        self.assertEqual(len(answers), 200)
        self.assertEqual(most, 4)

    def test_slow_request_is_refused(self) -> None:
        harness = self.harness(limits=HttpLimits(receive_seconds=0.1))
        with harness.connect() as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nA: ")
            (answer,) = read_answers(sock, None)
        self.assertEqual(answer.status, 408)

    def test_idle_connection_is_closed_without_a_word(self) -> None:
        harness = self.harness(limits=HttpLimits(idle_seconds=0.1))
        with harness.connect() as sock:
            sock.sendall(GET)
            self.assertEqual(len(read_answers(sock, None)), 1)

    def test_connection_over_the_limit_is_refused(self) -> None:
        harness = self.harness(limits=HttpLimits(max_connections=1))
        with harness.connect() as first:
            first.sendall(GET)
            read_answers(first, 1)
            (answer,) = harness.exchange_to_end(b"")
            self.assertEqual(answer.status, 503)
            self.assertEqual(json.loads(answer.body)["code"], ErrorCode.OVERLOADED)

    def test_idle_connections_cost_no_thread(self) -> None:
        harness = self.harness(limits=HttpLimits())
        harness.exchange(GET)
        before = threading.active_count()
        held = [harness.connect() for _ in range(200)]
        for sock in held:
            self.addCleanup(sock.close)
            sock.sendall(GET)
            read_answers(sock, 1)
        self.assertEqual(threading.active_count(), before)

    def test_caller_that_goes_is_reported(self) -> None:
        gone = threading.Event()

        def wait_for_going(exchange: Exchange) -> None:
            exchange.on_gone = gone.set

        harness = self.harness(handler=wait_for_going)
        with harness.connect() as sock:
            sock.sendall(GET)
        self.assertTrue(gone.wait(10))

    def test_expectation_is_met_before_the_body(self) -> None:
        harness = self.harness()
        with harness.connect() as sock:
            sock.sendall(b"POST /c HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
            self.assertEqual(sock.recv(100), b"HTTP/1.1 100 Continue\r\n\r\n")
            sock.sendall(b"x")
            (answer,) = read_answers(sock, 1)
        self.assertEqual(answer.body, b"POST /c x")

    def test_large_answer_to_a_slow_reader(self) -> None:
        size = 4 * 1024 * 1024

        def answer_much(exchange: Exchange) -> None:
            exchange.respond(HttpResponse(200, b"x" * size, "text/plain"))

        harness = self.harness(handler=answer_much)
        with harness.connect() as sock:
            sock.sendall(GET * 3)
            answers = read_answers(sock, 3)
        self.assertEqual([len(answer.body) for answer in answers], [size] * 3)

    def test_leaving_closes_with_the_next_answer(self) -> None:
        harness = self.harness()
        with harness.connect() as sock:
            sock.sendall(GET)
            read_answers(sock, 1)
            harness.loop.post(harness.server.leave)
            sock.sendall(GET + GET)
            answers = read_answers(sock, None)
        closing = [answer.headers.get("connection") for answer in answers]
        self.assertEqual(closing[-1], "close")
        self.assertEqual(closing[:-1], [None] * (len(closing) - 1))
        self.assertEqual({answer.status for answer in answers}, {200})


if __name__ == "__main__":
    unittest.main()
