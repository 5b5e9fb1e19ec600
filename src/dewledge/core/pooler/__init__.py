"""Decision core of the pooler: sessions over shared connections; no sockets, no clock of its own."""
