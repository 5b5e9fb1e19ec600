"""The four parts of the proxy assembled into one state machine, which a process drives."""
