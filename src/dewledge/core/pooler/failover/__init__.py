"""Failover of a group's primary, and the lease under which a process uses a primary.

- Lease: primary_lease decides who may use a primary. quorum_confirmation renews leases while the
  store is unreachable; claim_acknowledgements and lease_release find out when all leases on an old
  primary have ended.
- Loss detection: loss_watch, reach_check with evidence, connect_timeout.
- Replacement: group_failover (the state machine) with its transitions in phases, claim_turn,
  claim_writing, replacement with survey and candidates, claim_maintenance.
- Values: messages, situation.

The package opens no sockets and starts no timers or threads: shell/pooler/failover drives it.
"""
