"""Decision core of the pooler: sessions over shared connections, without sockets or clock."""
