"""Client sessions of the pooler: startup, authorization, routes, transactions, admission."""
