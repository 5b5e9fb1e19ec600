"""The decision core on a simulated network and clock."""
