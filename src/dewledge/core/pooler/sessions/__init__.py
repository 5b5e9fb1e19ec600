"""Client sessions of the pooler: start, authorisation, routes, transactions, admission."""
