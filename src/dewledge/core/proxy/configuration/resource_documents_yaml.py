"""Reads YAML so that nothing in it is lost: doubled keys and aliases are findings."""

from collections.abc import Hashable
from typing import Any

import msgspec
import yaml

from dewledge.errors import ErrorCode, Finding

TEXT_TAG = "tag:yaml.org,2002:str"


class ParsedDocuments(msgspec.Struct, frozen=True):
    """The documents of one text by number (from 1, empty ones left out), and what is wrong."""

    documents: tuple[tuple[int, object], ...]
    findings: tuple[Finding, ...]


class _StrictLoader(yaml.SafeLoader):
    """The safe loader, which also notes doubled keys, keys that are no text, and refuses aliases.

    Aliases are refused because a few lines of them can stand for more than memory holds.
    """

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.bad_keys: list[tuple[int, str]] = []

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark  # type: ignore[no-untyped-call]
            raise yaml.MarkedYAMLError(problem="aliases are not taken", problem_mark=mark)
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Hashable, Any]:
        seen = set()
        for key_node, _ in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                continue
            line = key_node.start_mark.line + 1
            if key_node.value in seen:
                self.bad_keys.append((line, f"{key_node.value!r} stands twice in one mapping"))
            if key_node.tag != TEXT_TAG:
                self.bad_keys.append((line, f"{key_node.value!r} is no text to YAML: quote it"))
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def parse_documents(text: str, source: str) -> ParsedDocuments:
    """Parses a text of YAML documents; raises nothing.

    After a syntax error the rest of the text is not read; what came before it is returned.
    """
    documents: list[tuple[int, object]] = []
    findings: list[Finding] = []
    number = 0
    try:
        loader = _StrictLoader(text)
        while loader.check_data():  # type: ignore[no-untyped-call]
            number += 1
            document = loader.get_data()
            findings += _bad_keys(loader, f"{source}#{number}")
            if document is not None:
                documents.append((number, document))
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        message = f"is not YAML: {error.problem or error.context}"
        findings.append(_invalid(f"{source}#{max(number, 1)} line {line}", message))
    except (yaml.YAMLError, ValueError, OverflowError, TypeError) as error:
        findings.append(_invalid(f"{source}#{max(number, 1)}", f"is not YAML: {error}"))
    except RecursionError:
        findings.append(_invalid(f"{source}#{max(number, 1)}", "is nested too deeply"))
    return ParsedDocuments(tuple(documents), tuple(findings))


def _bad_keys(loader: _StrictLoader, place: str) -> list[Finding]:
    findings = [_invalid(f"{place} line {line}", message) for line, message in loader.bad_keys]
    loader.bad_keys.clear()
    return findings


def _invalid(place: str, message: str) -> Finding:
    return Finding(place, ErrorCode.INVALID_RESOURCE, message)
