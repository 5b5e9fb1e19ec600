"""Exchanging tables: pulling parts on joining, and comparing digests from time to time.

News alone misses some members with a small chance and cannot heal a cut; comparing tables does.
"""

from collections.abc import Iterable

from dewledge.core.proxy.membership.member import Claim, Member, claim_of, supersedes
from dewledge.core.proxy.membership.messages import (
    MAX_CLAIM_BYTES,
    PullAnswer,
    PullRequest,
    SyncAnswer,
    SyncRequest,
    claim_size,
)
from dewledge.core.proxy.membership.outbox import Outbox
from dewledge.core.proxy.membership.table import BUCKETS
from dewledge.core.proxy.membership.view import MemberView


class TableSync:
    """Answers requests for the table and takes in answers. Every datagram is bounded in size."""

    def __init__(self, view: MemberView, outbox: Outbox) -> None:
        self._view = view
        self._outbox = outbox

    def request(self, address: str) -> None:
        """Sends this table's digests to a peer."""
        self._outbox.send_alone(address, SyncRequest(self._view.table.digests()))

    def answer_pull(self, request: PullRequest, address: str) -> None:
        """Sends the members that follow the requested name, as many as fit."""
        entries, complete = _fit(self._view.table.following(request.after))
        self._outbox.send_alone(address, PullAnswer(request.sequence, entries, complete))

    def take_pull(self, answer: PullAnswer, now: float) -> None:
        """Takes in a part of a seed's table, without passing it on as news."""
        for claim in answer.entries:
            self._view.take_entry(claim, now, pass_on=False)

    def answer_sync(self, request: SyncRequest, address: str, rotation: int) -> None:
        """Sends the differing buckets, as many whole ones as fit, beginning at `rotation`."""
        differing = self._view.table.differing_buckets(request.digests)
        if not differing:
            return
        differing.sort(key=lambda bucket: (bucket - rotation) % BUCKETS)
        buckets, entries = self._whole_buckets(differing)
        self._outbox.send_alone(address, SyncAnswer(bytes(buckets), entries))

    def take_sync(self, answer: SyncAnswer, address: str, now: float) -> list[Member]:
        """Takes in entries, sends back what the peer lacks, and returns whom to check."""
        doubtful = []
        for claim in answer.entries:
            member = self._view.take_entry(claim, now, pass_on=True)
            if member is not None:
                doubtful.append(member)
        if answer.buckets:
            self._return_newer(answer, address)
        return doubtful

    def _whole_buckets(self, differing: list[int]) -> tuple[list[int], tuple[Claim, ...]]:
        buckets: list[int] = []
        entries: list[Claim] = []
        room = MAX_CLAIM_BYTES - BUCKETS
        for bucket in differing:
            claims = [claim_of(item, True) for item in self._view.table.in_bucket(bucket)]
            size = sum(claim_size(claim) for claim in claims)
            if size > room and buckets:
                break
            if size > room:
                claims, _ = _fit_claims(claims, room)
            room -= size
            buckets.append(bucket)
            entries.extend(claims)
        return buckets, tuple(entries)

    def _return_newer(self, answer: SyncAnswer, address: str) -> None:
        theirs = {claim.name: claim for claim in answer.entries}
        newer: list[Claim] = []
        for bucket in answer.buckets:
            if bucket >= BUCKETS:
                continue
            members = self._view.table.in_bucket(bucket)
            newer.extend(claim_of(item, True) for item in members if _is_newer(item, theirs))
        entries, _ = _fit_claims(newer, MAX_CLAIM_BYTES)
        if entries:
            self._outbox.send_alone(address, SyncAnswer(b"", tuple(entries)))


def _is_newer(member: Member, theirs: dict[str, Claim]) -> bool:
    """Tells whether a peer that made these claims lacks what is believed of `member`."""
    claim = theirs.get(member.name)
    if claim is None:
        return not member.is_gone
    return not supersedes(claim, member) and (claim.incarnation, claim.state) != (
        member.incarnation,
        member.state,
    )


def _fit(members: Iterable[Member]) -> tuple[tuple[Claim, ...], bool]:
    claims, complete = _fit_claims((claim_of(item, True) for item in members), MAX_CLAIM_BYTES)
    return tuple(claims), complete


def _fit_claims(claims: Iterable[Claim], room: int) -> tuple[list[Claim], bool]:
    """Returns the first claims that fit into `room` bytes, and whether these are all."""
    fitting: list[Claim] = []
    for claim in claims:
        room -= claim_size(claim)
        if room < 0:
            return fitting, False
        fitting.append(claim)
    return fitting, True
