"""The demo: the main job of dewledge in one process, each step checked."""
