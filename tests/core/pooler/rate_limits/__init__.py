"""Tests of the distributed rate limits."""
