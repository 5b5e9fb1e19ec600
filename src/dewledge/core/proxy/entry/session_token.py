"""Session tokens: what a caller carries so that any proxy can honour its session.

A token holds, per group, the floor: the greatest position that the session wrote or read. It is
signed, bound to its caller and bounded in size. A group without a floor in the token is read from
the confirmed primary, so a floor dropped for size costs time and never a promise.
"""

import base64
import binascii
import hashlib
from collections.abc import Mapping, Sequence
from functools import lru_cache

import cbor2
import msgspec
from itsdangerous import BadSignature, Signer

from dewledge.core.shared.positions import LogPosition
from dewledge.errors import BadSessionToken

MAX_TOKEN_CHARACTERS = 2048
"""Characters of a token, which goes with each request and answer."""
MAX_GROUPS = 32
"""Groups whose floors one token holds; the least recently raised are dropped beyond it."""
REMEMBERED_TOKENS = 2048
"""Tokens whose signature has been verified lately and need not be again; a bad one is not kept."""

TOKEN_VERSION = 1
"""Version of the payload; a token of any other is refused."""
_KEY_PURPOSE = b"dewledge session token"


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    """The signed content; floors are (group, position), least recently raised first."""

    version: int
    caller: str
    floors: tuple[tuple[str, LogPosition], ...]


class SessionFloors(msgspec.Struct, frozen=True):
    """The floors of one session, least recently raised first. Never changed; `raised` copies."""

    by_group: dict[str, LogPosition]

    def floor(self, group: str) -> LogPosition | None:
        """Returns the group's floor, or None if the session has none there."""
        return self.by_group.get(group)

    def raised(self, group: str, position: LogPosition) -> "SessionFloors":
        """Returns floors that include `position`; the same object if they already do."""
        known = self.by_group.get(group)
        if known is not None and known >= position:
            return self
        floors = dict(self.by_group)
        floors.pop(group, None)
        floors[group] = position
        return SessionFloors(floors)


NO_FLOORS = SessionFloors({})


class SessionTokenCodec:
    """Seals and opens session tokens.

    keys: secrets, newest first; the newest signs, all verify, so keys can be rotated.
    Raises ValueError without a key.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("a session key is needed")
        derived = [hashlib.sha256(_KEY_PURPOSE + key).digest() for key in reversed(keys)]
        # A session sends the same token until something it reads or writes moves its floor.
        self._verified = lru_cache(REMEMBERED_TOKENS)(self._verify)
        self._signer = Signer(derived, key_derivation="none", digest_method=hashlib.sha256)

    def seal(self, caller: str, floors: Mapping[str, LogPosition]) -> str:
        """Returns the token of `caller`.

        Floors, least recently raised first, are dropped from the front until the token fits.
        """
        kept = list(floors.items())[-MAX_GROUPS:]
        token = self._sign(caller, kept)
        while len(token) > MAX_TOKEN_CHARACTERS and kept:
            kept = kept[1 + len(kept) // 4 :]
            token = self._sign(caller, kept)
        return token

    def open(self, token: str, caller: str) -> SessionFloors:
        """Returns the floors in a token.

        Raises BadSessionToken if it is malformed, forged, or was issued to another caller.
        """
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise BadSessionToken("the session token is too long")
        payload = self._verified(token)
        if payload.version != TOKEN_VERSION:
            raise BadSessionToken("the session token has an unknown version")
        if payload.caller != caller:
            raise BadSessionToken("the session token was issued to another caller")
        return SessionFloors(dict(payload.floors))

    def _sign(self, caller: str, floors: Sequence[tuple[str, LogPosition]]) -> str:
        payload = _Payload(TOKEN_VERSION, caller, tuple(floors))
        data = cbor2.dumps(msgspec.to_builtins(payload))
        encoded = base64.urlsafe_b64encode(data).rstrip(b"=")
        return self._signer.sign(encoded).decode("ascii")

    def _verify(self, token: str) -> _Payload:
        try:
            encoded = self._signer.unsign(token.encode("ascii"))
            data = base64.urlsafe_b64decode(encoded + b"=" * (-len(encoded) % 4))
            return msgspec.convert(cbor2.loads(data), _Payload)
        except BadSignature as error:
            raise BadSessionToken("the session token's signature does not match") from error
        except (
            ValueError,
            binascii.Error,
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
        ) as error:
            raise BadSessionToken("the session token is malformed") from error
