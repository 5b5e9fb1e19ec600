"""Distributed rate limits: each caller's limit holds over all processes together.

Callers are hashed into slots. In each slot, processes vote for one of a few candidates. A candidate
with votes is a grantor: it hands out the tokens that operations of the slot's callers need to
begin. `limits` divides a caller's limit between processes. The other modules, by where they run:

- in the process that receives an operation: `admission`, `gate`, `token_wait`,
  `token_reservations`; without a grantor also `local_allowances`, `local_allowance`;
- in every process, to choose which process to ask and vote for: `slots`, `slot_voters`, `voter`,
  `vote_binding`, `candidate_answers`, `grantor_search`, `previous_votes`; the messages are in
  `questions` and `messages`;
- in the grantor: `grantor`, `counted_votes`, `vote_fraction`, `slot_grants`;
- in the grantor, for each caller: `caller_token_queues`, `token_queue`, `queue_key`,
  `persistent_queue_detector`, `retry_times`, `token_bucket`, `reserved_bucket`, `recent_demand`.
"""
