"""The replacement of a group's lost primary, and the lease under which a process uses a primary.

- The rule of the lease: primary_lease. What adds to it: quorum_confirmation (keeps a lease while
  the store is away), claim_acknowledgements and lease_release (when all leases on an old primary
  ended).
- Judgement, whether a primary is lost: loss_watch, reach_check with evidence, reach_limit.
- Action: group_failover (the state machine) with the table in phases, claim_turn, claim_writing,
  replacement with survey and candidates, standing_claim.
- Values: messages, situation.

No sockets, timers or threads: shell/pooler/failover drives it.
"""
