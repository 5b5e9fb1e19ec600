"""The line codec: the page's examples, bytes cut anywhere, and bytes that mean nothing."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.statements.statements import (
    Failure,
    MalformedInput,
    Reply,
    Startup,
    Statement,
    StatementKind,
    Terminate,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode, ProtocolError
from dewledge.platform.statement_texts import format_text, parse_text
from dewledge.platform.status_row import parse_status
from dewledge.platform.wire_codec import WireClientCodec, WireDatabaseCodec
from dewledge.platform.wire_words import CODE_WORDS, CODES, MAX_LINE_BYTES

ID = "5c0e7a21d94b36f8"
TEXTS = (
    ("BEGIN", StatementKind.BEGIN),
    ("BEGIN READ", StatementKind.BEGIN_READ_ONLY),
    ("COMMIT", StatementKind.COMMIT),
    ("ROLLBACK", StatementKind.ROLLBACK),
    ("READ 1a4", StatementKind.READ),
    ("WRITE 1a4 xkqpwnzd", StatementKind.WRITE),
    ("SET tenant north side", StatementKind.SET_VALUE),
    ("PARSE s1 WRITE q2c", StatementKind.PREPARE),
    ("PARSE s1 READ q2c", StatementKind.PREPARE),
    ("EXECUTE s1 1a4 xkqpwnzd", StatementKind.EXECUTE),
    ("CLOSE s1", StatementKind.DEALLOCATE),
)


class ClientSideTest(unittest.TestCase):
    def test_every_text_is_read_and_written_back_unchanged(self) -> None:
        for text, kind in TEXTS:
            with self.subTest(text):
                statement = parse_text(ID, text)
                assert isinstance(statement, Statement)
                self.assertEqual((statement.id, statement.kind), (ID, kind))
                self.assertEqual(format_text(statement), text)

    def test_texts_that_mean_nothing(self) -> None:
        for text in (
            "",
            "READ",
            "WRITE ",
            "read 1a4",
            "BEGIN WRITE",
            "BEGIN ",
            "COMMIT now",
            "PARSE s1",
            "PARSE s1 UPDATE q",
            "PARSE  READ q",
            "EXECUTE",
            "CLOSE",
            "AFTER 3.1 READ x",
            "STATUS",
            "PAUSE 3",
            "STEPDOWN 9",
            "DISCARD",
        ):
            with self.subTest(text):
                self.assertIsInstance(parse_text(ID, text), MalformedInput)

    def test_messages(self) -> None:
        codec = WireClientCodec()
        data = f"STARTUP lepu270 u3f1\r\nQUERY {ID} READ 1a4\r\nTERMINATE\r\n".encode()
        expected = [
            Startup("lepu270", "u3f1"),
            Statement(ID, StatementKind.READ, "READ 1a4"),
            Terminate(),
        ]
        self.assertEqual(list(codec.feed(data)), expected)

    def test_the_same_wherever_the_bytes_are_cut(self) -> None:
        data = f"STARTUP lepu270 u3f1\r\nQUERY {ID} WRITE 1a4 x\r\n".encode()
        whole = list(WireClientCodec().feed(data))
        for cut in range(len(data)):
            codec = WireClientCodec()
            parts = [*codec.feed(data[:cut]), *codec.feed(data[cut:])]
            self.assertEqual(parts, whole)

    def test_a_megabyte_without_a_line_end_is_fatal_and_not_kept_growing(self) -> None:
        messages = list(WireClientCodec().feed(b"x" * (MAX_LINE_BYTES + 1)))
        self.assertEqual([message.fatal for message in messages], [True])  # type: ignore[union-attr]

    def test_an_unknown_word_is_fatal(self) -> None:
        (message,) = WireClientCodec().feed(b"GET / HTTP/1.1\r\n")
        assert isinstance(message, MalformedInput)
        self.assertTrue(message.fatal)

    @given(st.binary(max_size=400))
    def test_no_bytes_make_it_fail(self, data: bytes) -> None:
        codec = WireClientCodec()
        for message in [*codec.feed(data), *codec.feed(b"\r\n")]:
            self.assertIsInstance(message, Startup | Statement | Terminate | MalformedInput)

    def test_answers(self) -> None:
        codec = WireClientCodec()
        cases = (
            (
                Reply(TransactionState.IDLE, ("qhz",), "7.1f3"),
                b"DATAROW qhz\r\nCOMPLETE 7.1f3\r\nREADY I -\r\n",
            ),
            (
                Reply(TransactionState.FAILED, failure=Failure(ErrorCode.OVERLOADED, "later")),
                b"ERROR BUSY later\r\nREADY E -\r\n",
            ),
            (Reply(TransactionState.OPEN), b"COMPLETE -\r\nREADY T -\r\n"),
        )
        for reply, expected in cases:
            self.assertEqual(codec.reply(ID, reply), expected)
        self.assertEqual(codec.ready(), b"READY I -\r\n")
        refusal = codec.refusal(Failure(ErrorCode.UNKNOWN_GROUP, "no route"))
        self.assertEqual(refusal, b"ERROR NODB no route\r\n")

    def test_a_code_of_a_database_reaches_the_client_as_the_same_word(self) -> None:
        for word, code in CODES.items():
            self.assertEqual(CODE_WORDS[code], word)

    def test_codes_without_a_word_promise_nothing(self) -> None:
        promises = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"}
        for code in ErrorCode:
            line = WireClientCodec().refusal(Failure(code)).split()[1].decode()
            if code not in CODE_WORDS:
                self.assertNotIn(line, promises)


class DatabaseSideTest(unittest.TestCase):
    def test_statements(self) -> None:
        codec = WireDatabaseCodec()
        read = Statement(ID, StatementKind.READ, "READ 1a4")
        self.assertEqual(
            codec.statement(read, LogPosition(3, 1207)),
            f"QUERY {ID} AFTER 3.1207 READ 1a4\r\n".encode(),
        )
        own = Statement("-", StatementKind.STATUS)
        self.assertEqual(codec.statement(own, None), b"QUERY - STATUS\r\n")
        self.assertEqual(codec.startup("g", "me", "i-1"), b"STARTUP g me i-1\r\n")

    def test_answers_wherever_the_bytes_are_cut(self) -> None:
        data = b"DATAROW qhz\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n"
        data += b"ERROR READONLY i-7\r\nREADY E -\r\n"
        expected = [
            Reply(TransactionState.IDLE, ("qhz",), "7.1f3", None, LogPosition(3, 1209)),
            Reply(TransactionState.FAILED, failure=Failure(ErrorCode.NOT_PRIMARY, "i-7")),
        ]
        for cut in range(len(data)):
            codec = WireDatabaseCodec()
            self.assertEqual([*codec.feed(data[:cut]), *codec.feed(data[cut:])], expected)

    def test_bytes_that_are_no_answer(self) -> None:
        for data in (
            b"HELLO\r\n",
            b"READY X -\r\n",
            b"READY I 3\r\n",
            b"READY I a.b\r\n",
            b"READY I \xb2.3\r\n",
            b"x" * (MAX_LINE_BYTES + 1),
        ):
            with self.subTest(data[:20]), self.assertRaises(ProtocolError):
                WireDatabaseCodec().feed(data)

    @given(st.binary(max_size=400))
    def test_no_bytes_make_it_fail_otherwise(self, data: bytes) -> None:
        codec = WireDatabaseCodec()
        try:
            replies = [*codec.feed(data), *codec.feed(b"\r\n")]
        except ProtocolError:
            return
        self.assertTrue(all(isinstance(reply, Reply) for reply in replies))

    def test_status_rows(self) -> None:
        cases = (
            ("replica 3 3.1209 0 12 2 17", (False, 3, LogPosition(3, 1209))),
            ("primary 1 1.0 0 0 0 0", (True, 1, LogPosition(1, 0))),
            ("replica x 3.1 0", None),
            ("replica 3 - 0", None),
            ("replica 3 3 0", None),
            ("replica", None),
            ("", None),
        )
        for row, expected in cases:
            with self.subTest(row):
                status = parse_status(Reply(TransactionState.IDLE, (row,)))
                actual = status and (status.is_primary, status.term, status.received)
                self.assertEqual(actual, expected)

    def test_status_row_tells_under_which_term_replication_stopped(self) -> None:
        for row, expected in (
            ("replica 3 3.1209 4 12 2 17", 4),
            ("replica 3 3.1209 0 12 2 17", 0),
            ("replica 3 3.1209 x", 0),
            ("replica 3 3.1209", 0),
        ):
            with self.subTest(row):
                status = parse_status(Reply(TransactionState.IDLE, (row,)))
                self.assertEqual(status and status.stopped_term, expected)

    def test_texts_of_requests_on_role_and_replication(self) -> None:
        for kind, argument, text in (
            (StatementKind.STATUS, "", "STATUS"),
            (StatementKind.STEP_DOWN, "4", "STEPDOWN 4"),
            (StatementKind.STOP_REPLICATION, "4", "PAUSE 4"),
            (StatementKind.START_REPLICATION, "", "RESUME"),
        ):
            with self.subTest(text):
                self.assertEqual(format_text(Statement("-", kind, argument=argument)), text)


if __name__ == "__main__":
    unittest.main()
