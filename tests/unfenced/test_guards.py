"""Each guard that keeps an old primary from being used, switched off: the days then break."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.primary_lease import PrimaryLease
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from tests.unfenced.day import UnfencedDay

SECONDS = 30.0


def constant(value: bool) -> Callable[..., bool]:
    return lambda *_arguments: value


GUARDS: tuple[tuple[str, Any, str, bool, tuple[int, ...]], ...] = (
    ("any primary may be used", PrimaryLease, "allows", True, (6, 7)),
    ("the lease never lapses", PrimaryLease, "is_confirmed", True, (33,)),
    ("nobody is waited for", ClaimAcknowledgements, "is_effective", True, (23, 29)),
    ("the lease is not asked for", PrimaryLeaseUse, "lacks_lease", False, (8, 9)),
)
"""Name, where the guard is, what it is made to say, and seeds of days that it holds."""


class GuardsTest(unittest.TestCase):
    def test_without_it_a_replaced_primary_is_used(self) -> None:
        for name, owner, method, answer, seeds in GUARDS:
            with (
                self.subTest(name),
                mock.patch.object(owner, method, constant(answer)),
                # It would find some of the replaced primaries by their logs.
                mock.patch.object(PrimaryLeaseUse, "lacks_log", constant(False)),
            ):
                found = [v for seed in seeds for v in UnfencedDay(seed).play(SECONDS).violations()]
                self.assertTrue(any("committed" in violation for violation in found), found)


if __name__ == "__main__":
    unittest.main()
