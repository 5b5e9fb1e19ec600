"""Drives core/pooler/failover in a process: store, platform, datagrams, databases and time.

FailoverDriver passes events to the state machines and carries out their effects; ClaimKeeper and
LeaseConfirmations speak with other processes of claims; IndirectProbes tests databases for this
process and others; FailoverCalls calls the store and the platform; DatabaseQuestions asks
databases. FailoverContext is what they share, ClaimEvents how they are connected.
"""
