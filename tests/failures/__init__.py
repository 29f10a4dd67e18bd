"""Failures brought about in real processes, judged by journals."""
