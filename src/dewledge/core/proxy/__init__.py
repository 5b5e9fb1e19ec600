"""Entry, gateway, membership and configuration assembled into one state machine."""
