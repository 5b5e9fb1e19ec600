"""The operators' commands against stub proxies: what is sent, what is told, exit codes."""

import socket
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any

from dewledge.cli.http_client import ProxyClient
from dewledge.cli.operator_commands import parse_kind
from dewledge.cli.operator_commands_change import ChangeSubmission, Waiting
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.errors import InvalidInput
from tests.cli.stub_proxy import CUT, CommandRun, Reply, Request, StubProxy, run_command

DONE = Reply(200, {"outcome": "done", "revision": 7})
UNKNOWN = Reply(504, {"outcome": "unknown", "code": "store_unavailable"})
STORE_DOWN = Reply(503, {"outcome": "not_run", "code": "store_unavailable", "message": "down"})
LOST_RACE = Reply(
    409,
    {
        "outcome": "not_run",
        "code": "revision_conflict",
        "winner": {"change_id": "w1", "author": "kofi", "revision": 6},
    },
)
REFUSED = Reply(
    400,
    {
        "outcome": "not_run",
        "code": "dangling_reference",
        "findings": [
            {"place": "Database d spec.group", "code": "dangling_reference", "message": "none"},
            {"place": "Rule r", "code": "invalid_resource", "message": "bad"},
        ],
    },
)
FORBIDDEN = Reply(403, {"outcome": "not_run", "code": "forbidden", "message": "no rule"})
STANDS = Reply(200, {"accepted": True, "revision": 7})
NOT_SO_FAR = Reply(200, {"accepted": False})
STORE_SILENT = Reply(200, {"accepted": None})

# name, replies to POST in order (the last repeats), replies to GET, exit code, outcome, POSTs
CHANGE_TABLE: list[tuple[str, list[Reply], list[Reply], int, str, int]] = [
    ("accepted", [DONE], [], 0, "done", 1),
    ("lost race", [LOST_RACE], [], 1, "not_run", 1),
    ("findings", [REFUSED], [], 2, "not_run", 1),
    ("forbidden", [FORBIDDEN], [], 1, "not_run", 1),
    ("store down from the start", [STORE_DOWN], [], 1, "not_run", 1),
    ("answer lost, it stands", [CUT], [STANDS], 0, "done", 1),
    ("unknown, it stands", [UNKNOWN], [STANDS], 0, "done", 1),
    ("not JSON, it stands", [Reply(200, b"<html>")], [STANDS], 0, "done", 1),
    ("server error without outcome", [Reply(500, {})], [STANDS], 0, "done", 1),
    ("answer lost, not so far, then accepted", [CUT, DONE], [NOT_SO_FAR], 0, "done", 2),
    ("unknown, look-up cut, then lost race", [UNKNOWN, LOST_RACE], [CUT], 1, "not_run", 2),
    ("unknown, then findings", [UNKNOWN, REFUSED], [NOT_SO_FAR], 2, "not_run", 2),
    (
        "unknown, store down, silent, then it stands",
        [UNKNOWN, STORE_DOWN],
        [STORE_SILENT, STORE_SILENT, STANDS],
        0,
        "done",
        3,
    ),
]


def script(posts: list[Reply], gets: list[Reply]) -> Any:
    counts = {"POST": 0, "GET": 0}

    def reply(request: Request, _number: int) -> Reply:
        replies = posts if request.method == "POST" else gets
        index = min(counts[request.method], len(replies) - 1)
        counts[request.method] += 1
        return replies[index]

    return reply


def unused_address() -> str:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class StubTest(unittest.TestCase):
    def stub(self, posts: list[Reply], gets: list[Reply]) -> StubProxy:
        stub = StubProxy(script(posts, gets))
        self.addCleanup(stub.close)
        return stub

    def run_on(self, stub: StubProxy, *arguments: str) -> CommandRun:
        return run_command(*arguments, "--proxy", stub.address, "--token", "secret")


class ChangeTest(StubTest):
    def test_each_way_a_change_can_end(self) -> None:
        for name, posts, gets, exit_code, outcome, post_count in CHANGE_TABLE:
            with self.subTest(name=name):
                stub = self.stub(posts, gets)
                result = self.run_on(stub, "drain", "database", "d", "--output", "json")
                sent = [item.body for item in stub.requests if item.method == "POST"]
                self.assertEqual(result.exit_code, exit_code, result.errors)
                self.assertEqual(result.json["outcome"], outcome)
                self.assertEqual(len(sent), post_count)
                self.assertTrue(all(body == sent[0] for body in sent))
                asked = {item.path for item in stub.requests if item.method == "GET"}
                expected = {f"/v1/changes/{sent[0]['change_id']}"} if gets else set()
                self.assertEqual(asked, expected)

    def test_what_people_read(self) -> None:
        table = [
            (DONE, "accepted revision=7 change_id=c1", ""),
            (LOST_RACE, "", "kofi was first, with change w1, accepted as revision 6"),
            (REFUSED, "", "Rule r: invalid_resource: bad"),
            (FORBIDDEN, "", "forbidden: nothing was changed: no rule"),
        ]
        for reply, output, errors in table:
            with self.subTest(output=output, errors=errors):
                stub = self.stub([reply], [])
                result = self.run_on(stub, "delete", "rule", "r", "--change-id", "c1")
                self.assertIn(output, result.output)
                self.assertIn(errors, result.errors)

    def test_an_outcome_that_stays_unknown_names_the_change(self) -> None:
        stub = self.stub([CUT], [STORE_SILENT])
        arguments = ("drain", "database", "d", "--timeout", "0", "--change-id", "c1")
        result = self.run_on(stub, *arguments)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("not_confirmed", result.errors)
        self.assertIn("--change-id c1", result.errors)

    def test_an_unknown_outcome_is_resolved_through_another_proxy(self) -> None:
        first = StubProxy(lambda request, number: CUT)
        self.addCleanup(first.close)
        second = self.stub([DONE], [STANDS])
        client = ProxyClient([first.address, second.address], "secret")
        result = ChangeSubmission(client, {"change_id": "c1"}, Waiting(5.0)).run()
        self.assertEqual((result.outcome, result.revision), (Outcome.DONE, 7))

    def test_a_proxy_that_cannot_be_reached_is_passed_over(self) -> None:
        stub = self.stub([DONE], [])
        arguments = ("drain", "database", "d", "--proxy", unused_address())
        self.assertEqual(self.run_on(stub, *arguments).exit_code, 0)
        result = run_command(*arguments)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("gateway_unreachable", result.errors)

    def test_waiting_is_bounded(self) -> None:
        clock = [0.0]

        def pause(seconds: float) -> None:
            clock[0] += seconds

        stub = self.stub([CUT], [NOT_SO_FAR])
        waiting = Waiting(10.0, lambda: clock[0], pause, Random(1))
        client = ProxyClient([stub.address], "secret")
        result = ChangeSubmission(client, {"change_id": "c1"}, waiting).run()
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        self.assertLessEqual(clock[0], 10.0)


class SentTest(StubTest):
    def test_what_each_command_sends(self) -> None:
        drained = {"kind": "Database", "name": "d", "remove": []}
        table: list[tuple[list[str], dict[str, Any]]] = [
            (
                ["drain", "database", "d"],
                {"label": [{**drained, "set": {"dewledge/drain": "true"}}]},
            ),
            (
                ["drain", "databases", "d", "--undo"],
                {"label": [{**drained, "set": {}, "remove": ["dewledge/drain"]}]},
            ),
            (
                ["label", "Caller", "portal", "tier=public", "empty=", "trial-"],
                {
                    "label": [
                        {
                            "kind": "Caller",
                            "name": "portal",
                            "set": {"tier": "public", "empty": ""},
                            "remove": ["trial"],
                        }
                    ]
                },
            ),
            (["delete", "proxies", "p"], {"delete": [{"kind": "Proxy", "name": "p"}]}),
        ]
        for arguments, expected in table:
            with self.subTest(arguments=arguments):
                stub = self.stub([DONE], [])
                self.assertEqual(self.run_on(stub, *arguments).exit_code, 0)
                (request,) = stub.requests
                self.assertEqual(request.authorization, "Bearer secret")
                self.assertTrue(request.body.pop("change_id"))
                self.assertEqual(request.body, expected)

    def test_apply_sends_all_documents_and_the_base(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory) / "r.yaml"
            file.write_text(
                "{kind: Group, metadata: {name: g}}\n---\n{kind: Proxy, metadata: {name: p}}"
            )
            stub = self.stub([DONE], [])
            result = self.run_on(stub, "apply", str(file), "--base-revision", "6")
            self.assertEqual(result.exit_code, 0)
            body = stub.requests[0].body
            self.assertEqual([item["kind"] for item in body["put"]], ["Group", "Proxy"])
            self.assertEqual(body["base_revision"], 6)
            file.write_text("{kind: Group, metadata: {name: g}, sepc: {}}")
            result = self.run_on(stub, "apply", str(file))
            self.assertEqual((result.exit_code, len(stub.requests)), (2, 1))

    def test_bad_arguments_are_sent_to_nobody(self) -> None:
        stub = self.stub([DONE], [])
        for arguments in (
            ["label", "group", "g", "nothing"],
            ["drain", "group", "g"],
            ["drain", "database", "d", "--proxy", "host:1"],
        ):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.run_on(stub, *arguments).exit_code, 2)
        result = run_command("status", "--proxy", stub.address, "--token", "line\nbreak")
        self.assertEqual(result.exit_code, 2)
        self.assertEqual(stub.requests, [])


class KindTest(unittest.TestCase):
    def test_kinds_are_read_in_any_case_and_number(self) -> None:
        for kind in Kind:
            plural = "proxies" if kind is Kind.PROXY else f"{kind}s"
            for text in (kind, kind.lower(), kind.upper(), plural, plural.lower()):
                with self.subTest(text):
                    self.assertIs(parse_kind(text), kind)
        for text in ("", "s", "proxys", "databasess"):
            with self.subTest(text), self.assertRaises(InvalidInput):
                parse_kind(text)


class ShownTest(StubTest):
    RESOURCES = Reply(
        200,
        {
            "revision": 7,
            "resources": [
                {
                    "kind": "Database",
                    "metadata": {"name": "d1", "labels": {"site": "accra"}},
                    "spec": {"group": "g", "address": "10.0.0.1:1"},
                }
            ],
        },
    )
    STATUS = Reply(
        200,
        {
            "proxy": "accra-1",
            "revision": 7,
            "members": [{"name": "accra-1", "state": "alive"}, {"name": "accra-2", "zone": "a"}],
            "databases": ["d1"],
        },
    )

    def test_get(self) -> None:
        stub = self.stub([], [self.RESOURCES])
        result = self.run_on(stub, "get", "databases", "d1", "-l", "site=accra")
        self.assertEqual(
            stub.requests[0].path, "/v1/resources?kind=Database&name=d1&selector=site%3Daccra"
        )
        for text in ("d1", "site=accra", "address=10.0.0.1:1", "revision 7"):
            self.assertIn(text, result.output)
        result = self.run_on(stub, "get", "database", "--output", "json")
        self.assertEqual(result.json, self.RESOURCES.body)

    def test_get_of_what_is_not_there(self) -> None:
        stub = self.stub([], [Reply(200, {"revision": 7, "resources": []})])
        self.assertEqual(self.run_on(stub, "get", "group").exit_code, 0)
        result = self.run_on(stub, "get", "group", "g")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("not_found", result.errors)

    def test_status(self) -> None:
        stub = self.stub([], [self.STATUS])
        result = self.run_on(stub, "status")
        for text in ("proxy: accra-1", "members", "NAME", "STATE", "accra-2", "d1"):
            self.assertIn(text, result.output)
        self.assertEqual(self.run_on(stub, "status", "-o", "json").json, self.STATUS.body)

    def test_refusals(self) -> None:
        table = [(FORBIDDEN, 1, "forbidden"), (REFUSED, 2, "dangling_reference"), (CUT, 1, "lost")]
        for reply, exit_code, text in table:
            for arguments in (["status"], ["get", "groups"]):
                with self.subTest(text=text, arguments=arguments):
                    result = self.run_on(self.stub([], [reply]), *arguments)
                    self.assertEqual(result.exit_code, exit_code)
                    self.assertIn(text, result.errors)


if __name__ == "__main__":
    unittest.main()
