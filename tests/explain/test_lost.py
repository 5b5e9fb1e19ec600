"""`dewledge explain --lost`: causes on a day whose plan tells them, sums, and the command."""

import io
import json
import tempfile
import unittest
from collections.abc import Sequence
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from dewledge.cli.main import run
from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.explain.ended_processes import find_ended
from dewledge.explain.log_lines import LogRecord, parse_lines, split_processes
from dewledge.explain.lost import LossKind, LostStatement, find_lost
from dewledge.explain.lost_cause import LostCause, cause_told
from dewledge.explain.lost_report import LostBy, lost_text, sum_lost

PLANTED_DAY = Path(__file__).parent / "planted_day.log"
"""From nine processes on a day of the users' bench with five troubles that stand apart: a burst, a
primary that goes dark, three machines that stand still, answers that are lost, a split. Of the
other statements one is kept for each process, database, result and second near the twenty. The
rules were written on this day; with another seed they named 492 of 498 as planned (2636e697)."""

PLANTED = (
    (
        "burst",
        {LostCause.LOAD},
        ("3091b4ac28cc89ea", "0f31ff78486bfcf2", "a153414b6695ee11", "43b476fe53663587"),
    ),
    (
        "lost primary",
        {LostCause.PRIMARY_LOST, LostCause.DATABASE_SILENT},
        ("eb6ab4a351fa840e", "43bc9d680295a603", "68e5996e64f4582f", "df06037830618270"),
    ),
    (
        "machines that stand still",
        {LostCause.STOOD_STILL, LostCause.PROCESS_LOST},
        ("66b8a40a98a71bdf", "928a346371fc9552", "b8920149351fc9cb", "ee5ae748360784cf"),
    ),
    ("answers lost", {LostCause.ANSWER_LOST}, ("53b4624e2399d5ef", "faea7d8df76d9df2")),
    (
        "split",
        {LostCause.CUT},
        (
            "2bade8116d3bd9d7",
            "7c57778c4a8f787f",
            "86f09cae7368584d",
            "e5dfb4f14568ec5e",
            "41bd6d346185d816",
            "f2a8efa69d15ddf2",
        ),
    ),
)
"""Trouble, causes that name it, and statements drawn at random from its seconds."""

STATEMENT = (
    "time=2026-01-01T09:00:{second:06.3f}+0000 event=statement_answered statement={id} "
    "route={route} group=g consistency=primary kind=write way={way} outcome={outcome} "
    "waited_ms={waited} target_ms=400"
)
STARTED = (
    "time=2026-01-01T08:00:00+0000 event=pooler_started name=node zone=z1",
    "time=2026-01-01T08:00:01+0000 event=configuration_taken version=1",
)


def statement(
    second: float, way: str, outcome: str, waited: int, name: str = "s", route: str = "r"
) -> str:
    return STATEMENT.format(
        second=second, id=name, way=way, outcome=outcome, waited=waited, route=route
    )


def planted_logs() -> dict[str, Sequence[LogRecord]]:
    lines: dict[str, list[str]] = {}
    for line in PLANTED_DAY.read_text().splitlines():
        process, _, rest = line.partition(" ")
        lines.setdefault(process, []).append(rest)
    return {process: parse_lines(process, found) for process, found in lines.items()}


def lost_of(*logs: tuple[str, ...]) -> list[LostStatement]:
    names = [f"node-{number}" for number in range(1, len(logs) + 1)]
    return find_lost(
        {
            name: parse_lines(name, [*STARTED, *lines])
            for name, lines in zip(names, logs, strict=True)
        }
    )


class PlantedDayTest(unittest.TestCase):
    def test_twenty_statements_are_named_as_the_plan_tells(self) -> None:
        lost = {item.statement: item for item in find_lost(planted_logs())}
        for trouble, causes, statements in PLANTED:
            for name in statements:
                with self.subTest(trouble, statement=name):
                    self.assertIn(lost[name].cause, causes, lost[name].shown_by)


class CauseTest(unittest.TestCase):
    def test_each_cause(self) -> None:
        change = "time=2026-01-01T09:00:{}+0000 event=phase_changed group=g database=d phase={} {}"
        at = "time=2026-01-01T09:00:{}+0000 event={}"
        refused = statement(5.0, "d:none:given_up@100", "overloaded", 100)
        silent = statement(5.0, "d:none:silent@400", "statement_timeout", 400)
        moved = statement(5.0, "d:none:holder_silent@210,d:none:given_up@400", "overloaded", 400)
        served = statement(5.5, "d:none:done@10", "done", 10, "other")
        checking = change.format("04.900", "checking", "reason=no_answer")
        cases: tuple[tuple[str, LostCause, tuple[tuple[str, ...], ...]], ...] = (
            ("queue full, nothing else", LostCause.LOAD, ((refused,),)),
            (
                "stood still",
                LostCause.STOOD_STILL,
                ((refused, at.format("05.500", "process_stood_still stood_still_ms=2000")),),
            ),
            (
                "planned change",
                LostCause.PLANNED_CHANGE,
                ((change.format("04.900", "claiming", "reason=draining"), refused),),
            ),
            (
                "replaced",
                LostCause.PRIMARY_LOST,
                (
                    (checking, refused),
                    (at.format("06.000", "promotion_answered group=g accepted=True"),),
                ),
            ),
            ("doubted here, used elsewhere", LostCause.CUT, ((checking, refused), (served,))),
            (
                "the doubt was none",
                LostCause.LOAD,
                ((checking, change.format("04.930", "steady", "reason=reachable"), refused),),
            ),
            ("nobody has an answer", LostCause.DATABASE_SILENT, ((silent,), ())),
            ("others have answers", LostCause.CUT, ((silent,), (served,))),
            (
                "the link to another process was lost",
                LostCause.PROCESS_LOST,
                ((at.format("04.900", "link_lost peer=p reason=closed"), silent),),
            ),
            (
                "the holder was silent, and lost later",
                LostCause.HOLDER_SILENT,
                ((at.format("06.100", "link_lost peer=p reason=silent"), moved),),
            ),
            ("the holder was silent here alone", LostCause.HOLDER_SILENT, ((moved,), (served,))),
            (
                "another process stood still",
                LostCause.PROCESS_LOST,
                (
                    (silent,),
                    (served, at.format("05.500", "process_stood_still stood_still_ms=900")),
                ),
            ),
            (
                "no word on claims anywhere",
                LostCause.STORE_AWAY,
                (
                    (at.format("04.000", "lead_right_lapsed group=g"), refused),
                    (at.format("04.000", "store_lost table=t"),),
                ),
            ),
            (
                "no word on claims here",
                LostCause.CUT,
                ((at.format("04.000", "lead_right_lapsed group=g"), refused), ()),
            ),
            (
                "answer lost",
                LostCause.ANSWER_LOST,
                ((statement(5.0, "d:none:lost@9", "connection_lost", 9),),),
            ),
            (
                "replicas behind",
                LostCause.REPLICAS_BEHIND,
                ((statement(5.0, "d:floor:not_fresh@9,d:lead:given_up@99", "overloaded", 99),),),
            ),
            (
                "queues at the primary of a group whose replicas are behind",
                LostCause.REPLICAS_BEHIND,
                (
                    (refused,),
                    (statement(4.5, "r:floor:not_fresh@9,d:lead:done@20", "done", 20, "other"),),
                ),
            ),
            (
                "queues at the primary of a group whose replicas serve",
                LostCause.LOAD,
                (
                    (refused,),
                    (
                        statement(4.4, "r:floor:done@9", "done", 9, "x"),
                        statement(4.5, "r:floor:done@9", "done", 9, "y"),
                        statement(4.6, "r:floor:done@9", "done", 9, "z"),
                        statement(4.7, "r:floor:not_fresh@9,d:lead:done@20", "done", 20, "o"),
                    ),
                ),
            ),
            ("no way at all", LostCause.UNKNOWN, ((statement(5.0, "", "internal", 9),),)),
        )
        for name, expected, logs in cases:
            with self.subTest(name):
                (found,) = [item for item in lost_of(*logs) if item.statement == "s"]
                self.assertEqual(found.cause, expected, found.shown_by)

    def test_kinds(self) -> None:
        cases = (
            (statement(1.0, "d:none:done@500", "done", 500), LossKind.LATE),
            (statement(1.0, "d:none:given_up@100", "overloaded", 100), LossKind.REFUSED),
            (statement(1.0, "d:none:lost@10", "connection_lost", 10), LossKind.BROKEN),
        )
        for line, expected in cases:
            with self.subTest(expected):
                (found,) = lost_of((line,))
                self.assertEqual((found.kind, found.zone), (expected, "z1"))
        self.assertEqual(lost_of((statement(1.0, "d:none:done@10", "done", 10),)), [])


class SumTest(unittest.TestCase):
    def test_sums_by_each_key(self) -> None:
        lost = lost_of(
            (
                statement(1.2, "d:none:given_up@100", "overloaded", 100, "a", "r1"),
                statement(2.1, "d:none:lost@10", "connection_lost", 10, "b", "r2"),
                statement(2.2, "d:none:given_up@100", "overloaded", 100, "c", "r2"),
            )
        )
        expected = {
            LostBy.CAUSE: [("load", 2), ("answer_lost", 1)],
            LostBy.ROUTE: [("r2", 2), ("r1", 1)],
            LostBy.ZONE: [("z1", 3)],
            LostBy.SECOND: [("09:00:01", 1), ("09:00:02", 2)],
        }
        for by, sums in expected.items():
            with self.subTest(by):
                self.assertEqual([(it.key, it.total) for it in sum_lost(lost, by)], sums)
        self.assertIn("3 statements were lost", lost_text(lost, LostBy.CAUSE, 1))

    def test_a_line_that_stands_for_many_counts_so_often(self) -> None:
        lost = lost_of(("time=2026-01-01T09:00:01+0000 event=session_denied route=r count=300",))
        self.assertEqual(
            [(it.key, it.denied) for it in sum_lost(lost, LostBy.CAUSE)], [("key_not_known", 300)]
        )
        self.assertIn("300 sessions were denied", lost_text(lost, LostBy.CAUSE, 0))

    def test_by_caller(self) -> None:
        refused = "time=2026-01-01T09:00:0{}+0000 event=operation_not_admitted caller={} {}"
        lost = lost_of(
            (
                refused.format(1, "north", "is_over_limit=True"),
                refused.format(2, "north", "cause=over_limit"),
                refused.format(3, "south", "is_over_limit=False"),
                "time=2026-01-01T09:00:04+0000 event=session_denied route=r",
            )
        )
        sums = [(it.key, it.total) for it in sum_lost(lost, LostBy.CALLER)]
        self.assertEqual(sums, [("north", 2), ("-", 1), ("south", 1)])
        text = lost_text(lost, LostBy.CALLER, 0)
        self.assertIn("3 operations were not admitted", text)
        self.assertIn("0 statements were lost", text)


class RefusalTest(unittest.TestCase):
    """Lines of refusals before any work: those written before causes were, and with causes."""

    def cause(self, *logs: tuple[str, ...]) -> LostCause:
        (found,) = [item for item in lost_of(*logs) if item.process == "node-1"]
        return found.cause

    def test_each_cause(self) -> None:
        line = "time=2026-01-01T09:00:05+0000 event={}"
        refused = line.format("operation_not_admitted caller=north statement=s {}")
        ended = line.format("transaction_ended session=s1 reason={}")
        cases: tuple[tuple[str, LostCause], ...] = (
            (refused.format("is_over_limit=True come_back_ms=9"), LostCause.OVER_LIMIT),
            (refused.format("is_over_limit=False come_back_ms=9"), LostCause.NO_GRANTOR),
            (refused.format("is_over_limit=True cause=no_grantor"), LostCause.NO_GRANTOR),
            (refused.format("is_over_limit=False cause=over_limit"), LostCause.OVER_LIMIT),
            (refused.format("cause=no_room_in_time"), LostCause.NO_ROOM_IN_TIME),
            (refused.format("cause=no_connection"), LostCause.NO_CONNECTION),
            (refused.format("cause=a_later_word"), LostCause.UNKNOWN),
            (line.format("session_denied session=s1 route=r"), LostCause.KEY_NOT_KNOWN),
            (ended.format("token_taken_away"), LostCause.KEY_NOT_KNOWN),
            (ended.format("rested_too_long"), LostCause.CLIENT_RESTED),
        )
        for text, expected in cases:
            with self.subTest(text):
                self.assertEqual(self.cause((text,)), expected)
        self.assertEqual(lost_of((ended.format("client_left"),)), [])

    def test_every_word_of_a_refusal_is_a_cause(self) -> None:
        for word in RefusalCause:
            with self.subTest(word):
                self.assertEqual(cause_told(word), word.value)
                way = statement(5.0, f"d:none:overloaded@5,d:none:{word}@9", "overloaded", 9)
                self.assertEqual(self.cause((way,)), word.value)

    def test_what_led_to_a_refusal_is_named_before_its_own_word(self) -> None:
        change = "time=2026-01-01T09:00:04.9+0000 event=phase_changed group=g phase=claiming"
        refused = statement(5.0, "d:none:no_room_in_time@100", "overloaded", 100)
        found = self.cause((f"{change} reason=draining", refused))
        self.assertEqual(found, LostCause.PLANNED_CHANGE)

    def test_after_a_start_of_the_process_or_of_the_grantor(self) -> None:
        started = (
            "time=2026-01-01T09:00:04+0000 event=pooler_started name=n zone=z",
            "time=2026-01-01T09:00:04.5+0000 event=configuration_taken version=1",
        )
        grants = (
            "time=2026-01-01T09:00:04.6+0000 event=grantor_changed slot_count=1 slot=0 grants=True"
        )
        line = "time=2026-01-01T09:00:0{}+0000 event=operation_not_admitted caller=north "
        soon, later = (line.format(second) + "is_over_limit=True" for second in (5, 9))
        cases = (
            ("itself", ((*started, soon),), LostCause.COMING_BACK),
            ("itself, long ago", ((*started, later),), LostCause.OVER_LIMIT),
            ("its grantor", ((soon,), (*started, grants)), LostCause.COMING_BACK),
            ("its grantor, long ago", ((later,), (*started, grants)), LostCause.OVER_LIMIT),
            ("another process", ((soon,), started), LostCause.OVER_LIMIT),
        )
        for name, logs, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.cause(*logs), expected)


class EndedTest(unittest.TestCase):
    def test_a_process_that_starts_again_without_a_stop_was_killed(self) -> None:
        busy = [statement(1.0 + number / 10, "d:none:done@400", "done", 400) for number in range(5)]
        stopped = "time=2026-01-01T09:00:02+0000 event=pooler_stopped unfinished=0"
        again = "time=2026-01-01T09:00:03+0000 event=pooler_started name=n zone=z"
        for name, lines, ends in (
            ("killed", (*busy, again), 1),
            ("stopped", (*busy, stopped, again), 0),
            ("runs on", tuple(busy), 0),
        ):
            with self.subTest(name):
                found = find_ended({"n": parse_lines("n", [*STARTED, *lines])})
                self.assertEqual(len(found), ends)
                for end in found:
                    self.assertAlmostEqual(end.under_way, 5 * 0.4 / 2.0)
                    self.assertIn("1 processes ended", lost_text([], LostBy.CAUSE, 0, found))


class CollectedLogTest(unittest.TestCase):
    def test_the_name_before_the_fields_is_the_process(self) -> None:
        lines = (
            "time=09:00:00 event=a",
            "node-1 time=09:00:00 event=b",
            "  -3.25 node-2 time=09:00:00 event=c",
            'Jan 01 09:00:00 node-2 time=09:00:00 event=d reason="x time=y"',
            "",
        )
        found = split_processes("one", lines)
        self.assertEqual(
            {name: len(each) for name, each in found.items()}, {"one": 1, "node-1": 1, "node-2": 2}
        )


class CommandTest(unittest.TestCase):
    def fails(self, *arguments: str) -> str:
        output = io.StringIO()
        with redirect_stderr(output), redirect_stdout(output):
            self.assertNotEqual(run(["explain", *arguments]), 0)
        return output.getvalue()

    def test_a_log_as_an_argument_is_an_error_with_its_place(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        log = directory / "node-1.log"
        log.write_text(statement(1.0, "d:none:given_up@100", "overloaded", 100) + "\n")
        for arguments in (("--lost", str(log)), ("--failed", str(log)), (str(log),)):
            with self.subTest(arguments), mock.patch("sys.stdin", io.StringIO("")):
                self.assertIn(f"argument 1, '{log}'", self.fails(*arguments))

    def test_without_any_line_of_a_log_nothing_is_summed_up(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        other = directory / "other.txt"
        other.write_text("no log at all\n")
        self.assertIn("no line of a log in other", self.fails("--lost", f"--log={other}"))

    def test_text_and_json(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        log = directory / "node-1.log"
        log.write_text(statement(1.0, "d:none:given_up@100", "overloaded", 100) + "\n")
        for options, expected in (((), "refused"), (("--by", "route", "--json"), '"by": "route"')):
            output = io.StringIO()
            with redirect_stdout(output):
                code = run(["explain", "--lost", f"--log={log}", *options])
            self.assertEqual(code, 0)
            self.assertIn(expected, output.getvalue())
        self.assertEqual(json.loads(output.getvalue())["statements"][0]["cause"], "load")


if __name__ == "__main__":
    unittest.main()
