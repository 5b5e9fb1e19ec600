"""The operators' commands: resources are read and changed through any proxy."""

from pathlib import Path
from typing import Annotated, Any

import typer

from dewledge.cli.check import read_text
from dewledge.cli.http_client import HttpAnswer, ProxyClient
from dewledge.cli.operator_commands_change import (
    ChangeSubmission,
    Waiting,
    new_change_id,
    report_change,
)
from dewledge.cli.options import DEFAULT_PROXIES, OutputOption, ProxyOption, TokenOption
from dewledge.cli.output import CommandFailed, OutputFormat, print_json, print_table
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.errors import ErrorCode, Finding, InvalidInput

TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", min=0, help="Seconds to find out an outcome that is not known."),
]
ChangeIdOption = Annotated[
    str | None,
    typer.Option("--change-id", help="Repeat an earlier change: it takes effect at most once."),
]
KindArgument = Annotated[str, typer.Argument(help="Kind, such as database or databases.")]
DEFAULT_TIMEOUT = 20.0


def apply(
    file: Annotated[Path, typer.Argument(help="Resources, as YAML documents.")],
    base_revision: Annotated[
        int | None,
        typer.Option(
            "--base-revision",
            min=0,
            help="Accept only if this revision, as `get` shows it, is still the newest.",
        ),
    ] = None,
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    change_id: ChangeIdOption = None,
) -> None:
    """Create or replace all resources of a file, in one change."""
    from dewledge.core.proxy.configuration.resource_documents import load_documents, to_document

    resources = load_documents(read_text(file), file.name)
    change: dict[str, Any] = {"put": [to_document(resource) for resource in resources]}
    if base_revision is not None:
        change["base_revision"] = base_revision
    _submit(change, ProxyClient(proxy, token), output, timeout, change_id)


def get(
    kind: KindArgument,
    name: Annotated[str | None, typer.Argument(help="Only the resource of this name.")] = None,
    selector: Annotated[
        str, typer.Option("--selector", "-l", help="Only resources with these labels: k=v,k=v.")
    ] = "",
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show resources of one kind."""
    query = {"kind": str(parse_kind(kind))}
    if name:
        query["name"] = name
    if selector:
        query["selector"] = selector
    answer = _get("/v1/resources", proxy, token, query)
    resources = answer.body.get("resources", [])
    if output is OutputFormat.JSON:
        print_json(answer.body)
    else:
        rows = [(*_name_and_labels(item), item.get("spec")) for item in resources]
        print_table(("NAME", "LABELS", "SPEC"), rows)
        typer.echo(f"revision {answer.body.get('revision')}")
    if name and not resources:
        raise CommandFailed(f"there is no {query['kind']} {name}", ErrorCode.NOT_FOUND)


def label(
    kind: KindArgument,
    name: Annotated[str, typer.Argument(help="Name of the resource.")],
    labels: Annotated[list[str], typer.Argument(help="k=v sets a label, k- removes it.")],
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    change_id: ChangeIdOption = None,
) -> None:
    """Set and remove labels of one resource.

    Its other labels stay as they are.
    """
    change = {"label": [_label_change(parse_kind(kind), name, labels)]}
    _submit(change, ProxyClient(proxy, token), output, timeout, change_id)


def drain(
    kind: KindArgument,
    name: Annotated[str, typer.Argument(help="Name of the database.")],
    undo: Annotated[bool, typer.Option("--undo", help="Let it take new work again.")] = False,
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    change_id: ChangeIdOption = None,
) -> None:
    """Give a database no new work, or take that back.

    Open transactions there may finish within a bound.
    """
    if parse_kind(kind) is not Kind.DATABASE:
        message = "only databases are drained"
        raise InvalidInput([Finding("KIND", ErrorCode.MALFORMED_REQUEST, message)])
    words = [f"{DRAIN_LABEL}-"] if undo else [f"{DRAIN_LABEL}=true"]
    change = {"label": [_label_change(Kind.DATABASE, name, words)]}
    _submit(change, ProxyClient(proxy, token), output, timeout, change_id)


def delete(
    kind: KindArgument,
    name: Annotated[str, typer.Argument(help="Name of the resource.")],
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    timeout: TimeoutOption = DEFAULT_TIMEOUT,
    change_id: ChangeIdOption = None,
) -> None:
    """Delete one resource.

    Refused while others refer to it.
    """
    change = {"delete": [{"kind": str(parse_kind(kind)), "name": name}]}
    _submit(change, ProxyClient(proxy, token), output, timeout, change_id)


def status(
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show how one proxy sees the system.

    Shown are its revision, the members, and the databases that it is the gateway of.
    """
    answer = _get("/v1/status", proxy, token)
    if output is OutputFormat.JSON:
        print_json(answer.body)
        return
    lists = {name: value for name, value in answer.body.items() if isinstance(value, list)}
    for field, value in answer.body.items():
        if field not in lists:
            typer.echo(f"{field}: {value}")
    for title, items in lists.items():
        typer.echo(f"\n{title}")
        _print_items(items)


def _get(
    path: str, proxies: list[str], token: str, query: dict[str, str] | None = None
) -> HttpAnswer:
    """Asks the first proxy that can be reached. Raises InvalidInput or CommandFailed."""
    with ProxyClient(proxies, token) as client:
        answer = client.get(path, query)
    answer.raise_for_refusal()
    return answer


def _print_items(items: list[Any]) -> None:
    documents = [item if isinstance(item, dict) else {"name": item} for item in items]
    columns = list(dict.fromkeys(key for document in documents for key in document))
    rows = [[document.get(column) for column in columns] for document in documents]
    print_table([column.upper() for column in columns], rows)


def _name_and_labels(document: dict[str, Any]) -> tuple[Any, Any]:
    metadata = document.get("metadata", {})
    return metadata.get("name"), metadata.get("labels")


def parse_kind(text: str) -> Kind:
    """Reads a kind in any case, singular or plural. Raises InvalidInput."""
    wanted = text.lower()
    for kind in Kind:
        singular = kind.lower()
        plural = "proxies" if kind is Kind.PROXY else f"{singular}s"
        if wanted in (singular, plural):
            return kind
    kinds = ", ".join(kind.lower() for kind in Kind)
    message = f"{text!r} is none of {kinds}"
    raise InvalidInput([Finding("KIND", ErrorCode.UNKNOWN_KIND, message)])


def _label_change(kind: Kind, name: str, words: list[str]) -> dict[str, Any]:
    put: dict[str, str] = {}
    removed: list[str] = []
    findings: list[Finding] = []
    for word in words:
        key, separator, value = word.partition("=")
        if separator and key:
            put[key] = value
        elif not separator and len(word) > 1 and word.endswith("-"):
            removed.append(word[:-1])
        else:
            message = f"{word!r} is neither k=v nor k-"
            findings.append(Finding("LABELS", ErrorCode.MALFORMED_REQUEST, message))
    if findings:
        raise InvalidInput(findings)
    return {"kind": str(kind), "name": name, "set": put, "remove": removed}


def _submit(
    change: dict[str, Any],
    client: ProxyClient,
    output: OutputFormat,
    timeout: float,
    change_id: str | None,
) -> None:
    body = {"change_id": change_id or new_change_id(), **change}
    with client:
        result = ChangeSubmission(client, body, Waiting(timeout)).run()
    report_change(result, output)
