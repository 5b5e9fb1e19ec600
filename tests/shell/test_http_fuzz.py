"""Any bytes on a caller's connection: an answer or a close, never a crash or a hang."""

import json
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dewledge.shell.shared.http_messages import HttpLimits
from tests.shell.http_harness import HttpHarness

GOOD = b"POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
PIECES = st.sampled_from(
    [
        GOOD,
        b"GET / HTTP/1.1\r\n",
        b"\r\n",
        b"\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Connection: upgrade\r\nUpgrade: h2c\r\n",
        b"Expect: 100-continue\r\n",
        b"Authorization: Bearer x\r\n",
        b"5\r\nabcde\r\n0\r\n\r\n",
        b"ffffffffffffffffffff\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"\0\xff\xfe",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ]
)

LIMITS = HttpLimits(max_header_bytes=1024, max_body_bytes=2048, receive_seconds=1.0)


class HttpFuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = HttpHarness(limits=LIMITS)
        self.addCleanup(self.harness.close)

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(st.one_of(PIECES, st.binary(max_size=40)), max_size=8), st.booleans())
    def test_any_bytes(self, pieces: list[bytes], split: bool) -> None:
        data = b"".join(pieces)
        ending = b"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"
        with self.harness.connect() as sock:
            for piece in pieces if split else [data]:
                sock.sendall(piece)
            sock.sendall(b"\r\n" * 2 + ending)
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
        self._check(received)

    def test_server_still_serves(self) -> None:
        (answer,) = self.harness.exchange(GOOD)
        self.assertEqual(answer.body, b"POST /v1/x abc")

    def _check(self, received: bytes) -> None:
        for block in received.split(b"HTTP/1.1 ")[1:]:
            status = int(block[:3])
            self.assertIn(status, (100, 200, 400, 408, 413, 431))
            if status >= 400:
                body = block.partition(b"\r\n\r\n")[2]
                self.assertEqual(json.loads(body)["outcome"], "not_run")


if __name__ == "__main__":
    unittest.main()
