"""Runs the failover state machines of core/pooler/failover in a pooler process.

FailoverDriver passes events to the state machines and carries out their effects. ClaimKeeper and
LeaseConfirmations exchange claims and lease confirmations with other processes. IndirectProbes
opens test connections to databases, also on request of other processes. FailoverCalls calls the
coordination store and the platform; DatabaseRequests sends requests to databases. FailoverContext
holds what these classes share, ClaimEvents the events by which they notify each other.
"""
