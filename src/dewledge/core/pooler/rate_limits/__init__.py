"""Rate limits of callers, counted over all processes together.

The bound is arithmetic: `limits`. The other modules, by where they are at work:

- at the process that takes an operation: `admission`, `gate`, `token_wait`, `kept_tokens`;
  without a grantor `local_allowances`, `local_allowance`;
- whom that process asks and votes for: `slots`, `slot_voters`, `voter`, `vote_binding`,
  `candidate_answers`, `grantor_search`, `former_votes`; the messages: `questions`, `messages`;
- at the grantor: `grantor`, `counted_votes`, `held_share`, `slot_grants`;
- a caller's operations there: `caller_token_queues`, `token_queue`, `queue_key`,
  `standing_queue_watch`, `return_times`, `token_bucket`, `reserved_bucket`, `recent_demand`.
"""
