"""Which decisions under load a process makes: the `[load]` settings as one immutable value.

Each can be switched off, to measure what it buys; what each one decides is said at its field.
"""

import msgspec


class LoadPolicy(msgspec.Struct, frozen=True):
    """The parts in force.

    useful_waits: a statement waits while it can be served in its time, and is refused as soon as
    it can't; else a fixed time is the limit. kept_tokens: a caller told when to
    come back finds the token of that moment. urgent_tokens: a caller at its limit has its most
    urgent operations admitted first. told_load: databases are chosen by what holders tell.
    silent_holders: nothing but a probe goes to a holder that leaves statements without an answer.
    silent_databases: nothing waits before a database that leaves all without an answer.
    fair_callers: callers get fair shares of a database's slots and connections within an urgency;
    else who comes first is first.
    """

    useful_waits: bool = True
    kept_tokens: bool = True
    urgent_tokens: bool = True
    told_load: bool = True
    silent_holders: bool = True
    silent_databases: bool = True
    fair_callers: bool = True
