"""How a process reads, follows and publishes the tables of the platform store."""
