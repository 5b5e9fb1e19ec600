"""Core logic of the pooler: sessions over shared connections, without I/O or a system clock."""
