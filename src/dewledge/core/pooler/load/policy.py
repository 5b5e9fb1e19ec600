"""The load decisions that are enabled: the `[load]` settings as one immutable value.

Each can be disabled, so that its effect can be compared.
"""

import msgspec


class LoadPolicy(msgspec.Struct, frozen=True):
    """The load decisions that are enabled.

    Attributes:
        useful_waits: A statement waits only while it can still finish in time; otherwise it waits
            up to a fixed limit.
        kept_tokens: The rate-limit token at the retry time of a refused caller is reserved for it.
        urgent_tokens: A caller at its rate limit has its most urgent operations admitted first.
        told_load: Databases for reads are ordered by the load that their holders report.
        silent_holders: Only probes are sent to a connection holder that does not reply.
        silent_databases: Statements do not queue for a database that answers none of them.
        fair_callers: Callers get fair shares of a database's slots and connections at equal
            urgency; otherwise statements are served in order of arrival.
    """

    useful_waits: bool = True
    kept_tokens: bool = True
    urgent_tokens: bool = True
    told_load: bool = True
    silent_holders: bool = True
    silent_databases: bool = True
    fair_callers: bool = True
