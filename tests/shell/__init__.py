"""Tests of the shell. Its log would only hide their verdicts."""

from loguru import logger

logger.remove()
