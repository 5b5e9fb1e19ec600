"""What both daemons share: the event loop, the HTTP server, sockets, frames, log lines."""
