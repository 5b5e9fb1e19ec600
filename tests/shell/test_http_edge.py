"""Addresses, authentication and bodies: what callers and operators are told about each request."""

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    Operation,
    Outcome,
    Rows,
    Statement,
)
from dewledge.core.proxy.configuration.configuration import ChangeSet, ResourceKey
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.core.proxy.configuration.store import ChangeLookedUp, LabelChange, ProposalFinished
from dewledge.errors import ErrorCode
from tests.shell.edge_services import (
    BOOTSTRAP_TOKEN,
    CALLER_TOKEN,
    NOW,
    OPERATOR_TOKEN,
    UNCONFIGURED,
    FakeServices,
)

REFUSALS = [
    # method, target, token, status, code
    ("GET", "/", None, 404, ErrorCode.UNKNOWN_ADDRESS),
    ("GET", "/v1/statements/", CALLER_TOKEN, 404, ErrorCode.UNKNOWN_ADDRESS),
    ("GET", "/v1/statements", CALLER_TOKEN, 405, ErrorCode.METHOD_NOT_ALLOWED),
    ("POST", "/healthz", None, 405, ErrorCode.METHOD_NOT_ALLOWED),
    ("DELETE", "/v1/changes/x", OPERATOR_TOKEN, 405, ErrorCode.METHOD_NOT_ALLOWED),
    ("POST", "/v1/statements", None, 401, ErrorCode.UNAUTHENTICATED),
    ("POST", "/v1/statements", "wrong", 401, ErrorCode.UNAUTHENTICATED),
    ("POST", "/v1/transactions/begin", "", 401, ErrorCode.UNAUTHENTICATED),
    ("GET", "/v1/resources", CALLER_TOKEN, 403, ErrorCode.FORBIDDEN),
    ("POST", "/v1/changes", CALLER_TOKEN, 403, ErrorCode.FORBIDDEN),
    ("GET", "/v1/changes/x", CALLER_TOKEN, 403, ErrorCode.FORBIDDEN),
    ("GET", "/v1/status", CALLER_TOKEN, 403, ErrorCode.FORBIDDEN),
    ("GET", "/v1/resources?kind=X", OPERATOR_TOKEN, 400, ErrorCode.UNKNOWN_KIND),
    ("GET", "/v1/resources?x=y", OPERATOR_TOKEN, 400, ErrorCode.UNKNOWN_FIELD),
    ("GET", "/v1/resources?selector=a", OPERATOR_TOKEN, 400, ErrorCode.MALFORMED_REQUEST),
]

FINDINGS = [
    # name, target, body, places and codes of all findings
    ("no JSON", "/v1/statements", b"{", [("body", ErrorCode.MALFORMED_REQUEST)]),
    ("no object", "/v1/statements", b"[]", [("body", ErrorCode.MALFORMED_REQUEST)]),
    (
        "many at once",
        "/v1/statements",
        b'{"group":"","parameters":[{},1e999],"access":"x","deadline_ms":0,"extra":1}',
        [
            ("body group", ErrorCode.MALFORMED_REQUEST),
            ("body sql", ErrorCode.MALFORMED_REQUEST),
            ("body parameters[0]", ErrorCode.MALFORMED_REQUEST),
            ("body parameters[1]", ErrorCode.MALFORMED_REQUEST),
            ("body access", ErrorCode.MALFORMED_REQUEST),
            ("body deadline_ms", ErrorCode.MALFORMED_REQUEST),
            ("body extra", ErrorCode.UNKNOWN_FIELD),
        ],
    ),
    (
        "deadline over the bound",
        "/v1/statements",
        b'{"group":"g","sql":"s","deadline_ms":60001}',
        [("body deadline_ms", ErrorCode.MALFORMED_REQUEST)],
    ),
    (
        "a number as text",
        "/v1/transactions/begin",
        b'{"group":"g","deadline_ms":"5"}',
        [("body deadline_ms", ErrorCode.MALFORMED_REQUEST)],
    ),
    (
        "no transaction",
        "/v1/transactions/commit",
        b'{"group":"g"}',
        [("body transaction", ErrorCode.MALFORMED_REQUEST)],
    ),
]

ANSWERS = [
    # answer, status, Retry-After
    (CallerAnswer(Outcome.DONE), 200, None),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.OVERLOADED, retry_after=0.2), 429, "1"),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.LEAVING, retry_after=1.5), 503, "2"),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.NO_PRIMARY), 503, None),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.STATEMENT_FAILED), 422, None),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.IDEMPOTENCY_MISMATCH), 409, None),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.FORBIDDEN), 403, None),
    (CallerAnswer(Outcome.NOT_RUN, ErrorCode.BAD_SESSION_TOKEN), 400, None),
    (CallerAnswer(Outcome.UNKNOWN, ErrorCode.CONNECTION_LOST), 504, None),
]


def body_of(data: bytes) -> dict[str, Any]:
    found = json.loads(data)
    assert isinstance(found, dict)
    return found


class HttpEdgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.services = FakeServices()

    def test_refusals(self) -> None:
        for method, target, token, status, code in REFUSALS:
            with self.subTest(f"{method} {target} {token}"):
                answer = self.services.ask(method, target, token, b"{}")
                body = body_of(answer.body)
                found = (answer.status, body["outcome"], body["code"])
                self.assertEqual(found, (status, "not_run", code))
        self.assertEqual((self.services.calls, self.services.proposed), ([], []))

    def test_all_findings_are_reported_together(self) -> None:
        for name, target, body, expected in FINDINGS:
            with self.subTest(name):
                answer = self.services.ask("POST", target, CALLER_TOKEN, body)
                findings = body_of(answer.body)["findings"]
                found = [(item["place"], item["code"]) for item in findings]
                self.assertEqual((answer.status, found), (400, expected))
        self.assertEqual(self.services.calls, [])

    def test_whole_statement_reaches_the_core(self) -> None:
        body = {
            "group": "g",
            "sql": "SELECT ?",
            "parameters": ["a", 1, 2.5, True, None],
            "access": "read",
            "deadline_ms": 250,
            "session": "s",
            "transaction": "t",
            "idempotency_key": "k",
        }
        self.services.ask("POST", "/v1/statements", CALLER_TOKEN, json.dumps(body).encode())
        expected = CallerRequest(
            request_id=1,
            caller="c",
            group="g",
            deadline=NOW + 0.25,
            operation=Operation.EXECUTE,
            access=Access.READ,
            statement=Statement("SELECT ?", ("a", 1, 2.5, True, None)),
            session="s",
            transaction="t",
            idempotency_key="k",
        )
        self.assertEqual(self.services.calls, [expected])

    def test_steps_of_a_transaction_reach_the_core(self) -> None:
        for step in (Operation.BEGIN, Operation.COMMIT, Operation.ROLLBACK):
            more = "" if step is Operation.BEGIN else ',"transaction":"t"'
            body = f'{{"group":"g"{more}}}'.encode()
            self.services.ask("POST", f"/v1/transactions/{step}", CALLER_TOKEN, body)
            request = self.services.calls[-1]
            self.assertEqual((request.operation, request.deadline), (step, NOW + 5.0))

    def test_answers(self) -> None:
        for given_answer, status, retry_after in ANSWERS:
            with self.subTest(given_answer.code):
                self.services.answer = given_answer
                body = b'{"group":"g","sql":"s"}'
                answer = self.services.ask("POST", "/v1/statements", CALLER_TOKEN, body)
                self.assertEqual(answer.status, status)
                self.assertEqual(dict(answer.headers).get("Retry-After"), retry_after)
                self.assertEqual(body_of(answer.body)["outcome"], given_answer.outcome)

    def test_rows_and_session_are_answered(self) -> None:
        rows = Rows(("a", "b"), ((1, "x"), (None, 2.5)), 2)
        self.services.answer = CallerAnswer(
            Outcome.DONE, rows=rows, session="s", transaction="t", served_by="d", repeated=True
        )
        answer = self.services.ask(
            "POST", "/v1/statements", CALLER_TOKEN, b'{"group":"g","sql":"s"}'
        )
        expected = {
            "outcome": "done",
            "columns": ["a", "b"],
            "rows": [[1, "x"], [None, 2.5]],
            "affected": 2,
            "session": "s",
            "transaction": "t",
            "served_by": "d",
            "repeated": True,
        }
        self.assertEqual(body_of(answer.body), expected)

    def test_fault_of_the_proxy_leaves_the_outcome_unknown(self) -> None:
        self.services.submit_call = None  # type: ignore[assignment, method-assign]
        body = b'{"group":"g","sql":"s"}'
        answer = self.services.ask("POST", "/v1/statements", CALLER_TOKEN, body)
        found = (answer.status, body_of(answer.body)["outcome"], body_of(answer.body)["code"])
        self.assertEqual(found, (500, "unknown", ErrorCode.INTERNAL))

    def test_caller_that_goes_is_told_to_the_core(self) -> None:
        self.services.answer = None
        body = b'{"group":"g","sql":"s"}'
        exchange = self.services.begin("POST", "/v1/statements", CALLER_TOKEN, body)
        assert exchange.on_gone is not None
        exchange.on_gone()
        self.assertEqual(self.services.abandoned, [1])

    def test_proposal(self) -> None:
        winner = ChangeSet(8, "other", "someone")
        self.services.finished = ProposalFinished(
            "x", Outcome.NOT_RUN, code=ErrorCode.REVISION_CONFLICT, winner=winner
        )
        change = {
            "change_id": "x",
            "base_revision": 7,
            "put": [{"kind": "Group", "metadata": {"name": "h"}, "spec": {}}],
            "delete": [{"kind": "Rule", "name": "r"}],
            "label": [{"kind": "Group", "name": "g", "set": {"a": "b"}, "remove": ["team"]}],
        }
        answer = self.services.ask(
            "POST", "/v1/changes", OPERATOR_TOKEN, json.dumps(change).encode()
        )
        body = body_of(answer.body)
        self.assertEqual((answer.status, body["code"]), (409, ErrorCode.REVISION_CONFLICT))
        self.assertEqual(body["winner"], {"change_id": "other", "author": "someone", "revision": 8})
        (proposed,) = self.services.proposed
        self.assertEqual((proposed.author, proposed.base_revision), ("o", 7))
        self.assertEqual(proposed.deleted, (ResourceKey(Kind.RULE, "r"),))
        group = ResourceKey(Kind.GROUP, "g")
        self.assertEqual(proposed.labels, (LabelChange(group, (("a", "b"),), ("team",)),))

    def test_bad_resource_is_found(self) -> None:
        change = b'{"change_id":"x","put":[{"kind":"Group"},{"kind":"Nothing"}]}'
        answer = self.services.ask("POST", "/v1/changes", BOOTSTRAP_TOKEN, change)
        findings = body_of(answer.body)["findings"]
        self.assertEqual(answer.status, 400)
        self.assertGreaterEqual({item["place"][:6] for item in findings}, {"put[0]", "put[1]"})

    def test_look_up(self) -> None:
        self.services.looked_up = ChangeLookedUp("x", True, ChangeSet(8, "x", "o"))
        answer = self.services.ask("GET", "/v1/changes/x", OPERATOR_TOKEN)
        self.assertEqual(body_of(answer.body), {"accepted": True, "revision": 8})

    def test_resources_are_selected(self) -> None:
        for query, names in (
            ("", ["c", "o", "g", "r"]),
            ("?kind=Group", ["g"]),
            ("?kind=Caller&name=o", ["o"]),
            ("?selector=team%3Dpermits", ["g"]),
            ("?selector=team%3Dother", []),
        ):
            with self.subTest(query):
                answer = self.services.ask("GET", f"/v1/resources{query}", OPERATOR_TOKEN)
                body = body_of(answer.body)
                found = [item["metadata"]["name"] for item in body["resources"]]
                self.assertEqual((body["revision"], found), (7, names))

    def test_readiness(self) -> None:
        states = [
            (FakeServices(), {}, 200, None),
            (FakeServices(UNCONFIGURED), {}, 503, ErrorCode.NOT_READY),
            (FakeServices(), {"is_serving": False}, 503, ErrorCode.ISOLATED),
            (FakeServices(), {"is_leaving": True}, 503, ErrorCode.LEAVING),
        ]
        for services, changes, status, code in states:
            for name, value in changes.items():
                setattr(services, name, value)
            answer = services.ask("GET", "/readyz")
            self.assertEqual((answer.status, body_of(answer.body).get("code")), (status, code))
            self.assertEqual(services.ask("GET", "/healthz").status, 200)

    def test_without_configuration_only_the_bootstrap_operator_is_known(self) -> None:
        services = FakeServices(UNCONFIGURED)
        answer = services.ask("POST", "/v1/statements", CALLER_TOKEN, b"{}")
        self.assertEqual(body_of(answer.body)["code"], ErrorCode.NOT_READY)
        self.assertEqual(services.ask("GET", "/v1/resources", BOOTSTRAP_TOKEN).status, 200)

    def test_metrics(self) -> None:
        self.services.ask("POST", "/v1/statements", CALLER_TOKEN, b'{"group":"g","sql":"s"}')
        text = self.services.ask("GET", "/metrics").body.decode()
        line = (
            'dewledge_requests_total{access="write",code="",operation="execute",outcome="done"} 1.0'
        )
        self.assertIn(line, text)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.sampled_from(
            ["/v1/statements", "/v1/transactions/begin", "/v1/transactions/commit", "/v1/changes"]
        ),
        st.one_of(
            st.binary(max_size=60),
            st.dictionaries(
                st.sampled_from(["group", "sql", "parameters", "access", "change_id", "put", "x"]),
                st.recursive(
                    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
                    lambda inner: st.one_of(
                        st.lists(inner, max_size=3),
                        st.dictionaries(st.text(max_size=8), inner, max_size=3),
                    ),
                    max_leaves=6,
                ),
            ).map(lambda value: json.dumps(value).encode()),
        ),
    )
    def test_any_body(self, target: str, body: bytes) -> None:
        answer = self.services.ask("POST", target, OPERATOR_TOKEN, body)
        self.assertIn(answer.status, (200, 400))
        self.assertIn(body_of(answer.body)["outcome"], ("done", "not_run"))


if __name__ == "__main__":
    unittest.main()
