"""Sockets, HTTP, thrift and logs; independent of the project's own messages."""
