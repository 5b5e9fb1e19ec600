"""The users' platform in its own manner of speaking: names, formats and calls. Nothing decides."""
