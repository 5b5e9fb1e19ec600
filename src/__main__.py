"""Starts the command from a source tree: `python3 src pooler ...`."""

from dewledge.cli.main import main

if __name__ == "__main__":
    main()
