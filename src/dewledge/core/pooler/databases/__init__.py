"""What is known of the databases of a group: roles, positions, lag, silence."""
