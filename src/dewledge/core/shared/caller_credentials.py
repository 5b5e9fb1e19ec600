"""Callers' tokens: held as digests only, and looked up the same way at every door."""

import hashlib
from collections.abc import Iterable, Mapping


def credential_digest(token: str) -> str:
    """Returns the SHA-256 of a caller's token in hexadecimal, as resources and settings hold it."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def index_credentials(callers: Iterable[tuple[str, Iterable[str]]]) -> Mapping[str, str]:
    """Returns the name of the caller of each digest.

    callers: each caller's name, and the digests of its tokens.
    """
    return {digest: name for name, digests in callers for digest in digests}
