"""Tests of rate limits over all processes."""
