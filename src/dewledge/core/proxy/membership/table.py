"""The table of members: by name, in the order of names, and digested into buckets."""

import bisect
from collections.abc import Iterator
from random import Random

import xxhash

from dewledge.core.proxy.membership.member import Member, MemberState

BUCKETS = 64
"""Parts of the table that are compared by digest: 850 members give 13 each, and a digest of all
parts fits a datagram."""
DIGEST_BYTES = 4
"""Of one part's digest: 64 of them are 256 bytes of a datagram."""


def bucket_of(name: str) -> int:
    """Returns the bucket in which a member is digested."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class MemberTable:
    """Members by name. The digests cover the living ones only: the dead are forgotten unevenly."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._names: list[str] = []
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._gone_since: dict[str, float] = {}
        self._dead = 0
        self._living: tuple[Member, ...] | None = None

    def get(self, name: str) -> Member | None:
        """Returns a member, living or gone, or None."""
        return self._members.get(name)

    def put(self, member: Member, now: float) -> None:
        """Adds or replaces a member."""
        self._living = None
        previous = self._members.get(member.name)
        if previous is None:
            bisect.insort(self._names, member.name)
            self._buckets[bucket_of(member.name)].add(member.name)
        else:
            self._account(previous, -1)
        self._members[member.name] = member
        self._account(member, 1)
        if not member.is_gone:
            self._gone_since.pop(member.name, None)
        elif previous is None or not previous.is_gone:
            self._gone_since[member.name] = now

    def forget(self, name: str) -> None:
        """Removes a member altogether."""
        self._living = None
        member = self._members.pop(name)
        self._account(member, -1)
        self._names.remove(name)
        self._buckets[bucket_of(name)].discard(name)
        self._gone_since.pop(name, None)

    @property
    def living_count(self) -> int:
        """How many members are not gone."""
        return len(self._members) - len(self._gone_since)

    @property
    def known_count(self) -> int:
        """How many members count for a majority: all but those that announced their own end."""
        return self.living_count + self._dead

    def living(self) -> tuple[Member, ...]:
        """Returns the members that are not gone, sorted by name."""
        if self._living is None:
            members, gone = self._members, self._gone_since
            self._living = tuple(members[name] for name in self._names if name not in gone)
        return self._living

    def gone(self) -> dict[str, float]:
        """Returns the names of the gone and since when each is."""
        return dict(self._gone_since)

    def random_gone(self, random: Random) -> Member | None:
        """Returns a member that is gone, or None."""
        names = list(self._gone_since)
        return self._members[random.choice(names)] if names else None

    def random_living(self, random: Random, excluded: str, count: int) -> list[Member]:
        """Returns up to `count` different living members other than `excluded`."""
        found: dict[str, Member] = {}
        for _ in range(count * 4):
            member = self._members[self._names[random.randrange(len(self._names))]]
            if member.name != excluded and not member.is_gone:
                found[member.name] = member
            if len(found) == count:
                break
        return list(found.values())

    def following(self, after: str) -> Iterator[Member]:
        """Returns the living members whose names follow `after`, in order."""
        start = bisect.bisect_right(self._names, after)
        for index in range(start, len(self._names)):
            member = self._members[self._names[index]]
            if not member.is_gone:
                yield member

    def in_bucket(self, bucket: int) -> list[Member]:
        """Returns the members of a bucket, the gone ones too."""
        return [self._members[name] for name in sorted(self._buckets[bucket])]

    def digests(self) -> bytes:
        """Returns the digests of all buckets, for comparing tables."""
        return b"".join(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests)

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Returns the buckets whose digest differs from the peer's."""
        if len(digests) != BUCKETS * DIGEST_BYTES:
            return []
        own = self.digests()
        return [
            bucket
            for bucket in range(BUCKETS)
            if own[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != digests[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        ]

    def _account(self, member: Member, sign: int) -> None:
        """Adds a member to the counts and digests, or takes it out."""
        if member.state is MemberState.DEAD:
            self._dead += sign
        if member.is_gone:
            return
        text = f"{member.name} {member.incarnation} {int(member.state)}"
        self._digests[bucket_of(member.name)] ^= xxhash.xxh32_intdigest(text.encode())
