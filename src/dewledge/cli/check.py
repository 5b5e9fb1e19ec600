"""`dewledge check`: finds everything that is wrong with a settings file or with resources."""

from pathlib import Path
from typing import Annotated

import typer

from dewledge.errors import ErrorCode, Finding, InvalidInput

SETTINGS_SUFFIX = ".toml"
RESOURCE_SUFFIXES = (".yaml", ".yml")


def check(
    file: Annotated[
        Path,
        typer.Argument(help="Settings (.toml) or resources (.yaml, .yml)."),
    ],
    partial: Annotated[
        bool,
        typer.Option(
            "--partial",
            help="The resources add to others: what they refer to need not be in this file.",
        ),
    ] = False,
) -> None:
    """Check settings or resources and print every finding.

    A finding has its place, its code and a message. Exits with 0 if there is none, else with 2.
    """
    if file.suffix == SETTINGS_SUFFIX:
        _check_settings(file)
    elif file.suffix in RESOURCE_SUFFIXES:
        _check_resources(file, partial)
    else:
        message = "must end in .toml for settings, or in .yaml or .yml for resources"
        raise InvalidInput([Finding(file.name, ErrorCode.MALFORMED_REQUEST, message)])


def _check_settings(file: Path) -> None:
    from dewledge.pooler_settings import is_pooler_file, load_pooler_settings
    from dewledge.settings import load_settings

    if is_pooler_file(file):
        pooler = load_pooler_settings(file)
        typer.echo(f"{file.name}: settings of pooler {pooler.name}, no findings")
        return
    settings = load_settings(file)
    typer.echo(f"{file.name}: settings of proxy {settings.name}, no findings")


def _check_resources(file: Path, partial: bool) -> None:
    from dewledge.core.proxy.configuration.configuration import Configuration
    from dewledge.core.proxy.configuration.resource_documents import (
        check_configuration,
        load_documents,
    )

    resources = load_documents(read_text(file), file.name)
    findings = [] if partial else check_configuration(Configuration(0, resources))
    if findings:
        raise InvalidInput([_in_file(finding, file) for finding in findings])
    typer.echo(f"{file.name}: {len(resources)} resources, no findings")


def _in_file(finding: Finding, file: Path) -> Finding:
    return Finding(f"{file.name} {finding.place}", finding.code, finding.message)


def read_text(file: Path) -> str:
    """Reads a file of UTF-8 text. Raises InvalidInput."""
    try:
        return file.read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
    except UnicodeDecodeError as error:
        message = f"is not UTF-8: {error.reason}"
    raise InvalidInput([Finding(file.name, ErrorCode.MALFORMED_REQUEST, message)])
