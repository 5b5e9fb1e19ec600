"""Succession of a primary: doubt, confirmation by others, a claim with a token, the choice."""
