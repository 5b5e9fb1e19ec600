"""Load decisions: wait estimates, queue order, refusals and the times at which clients may
retry."""
