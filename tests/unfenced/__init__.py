"""Several processes before databases that go on leading after a promotion, in virtual time."""
