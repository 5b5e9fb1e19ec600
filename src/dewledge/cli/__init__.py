"""The dewledge command line."""
