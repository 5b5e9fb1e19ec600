"""Callers' credentials (API keys): held as digests, looked up the same way by both programs."""

import hashlib
from collections.abc import Iterable, Mapping


def credential_digest(credential: str) -> str:
    """Returns the SHA-256 of a caller's credential in hexadecimal, as resources and settings do."""
    return hashlib.sha256(credential.encode("utf-8", "surrogatepass")).hexdigest()


def index_credentials(callers: Iterable[tuple[str, Iterable[str]]]) -> Mapping[str, str]:
    """Returns the name of the caller of each digest.

    callers: each caller's name, and the digests of its credentials.
    """
    return {digest: name for name, digests in callers for digest in digests}
