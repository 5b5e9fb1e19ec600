"""Callers' credentials (API keys), stored and looked up as SHA-256 digests by both programs."""

import hashlib
from collections.abc import Iterable, Mapping


def credential_digest(credential: str) -> str:
    """Returns the hexadecimal SHA-256 of a credential, as stored in resources and settings."""
    return hashlib.sha256(credential.encode("utf-8", "surrogatepass")).hexdigest()


def index_credentials(callers: Iterable[tuple[str, Iterable[str]]]) -> Mapping[str, str]:
    """Returns a mapping from each digest to its caller's name.

    callers: each caller's name, and the digests of its credentials.
    """
    return {digest: name for name, digests in callers for digest in digests}
