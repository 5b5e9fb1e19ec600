"""Rate limits of callers, counted over all processes."""
