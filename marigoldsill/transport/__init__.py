"""Sockets, HTTP and thrift plumbing; knows no message of ours."""
