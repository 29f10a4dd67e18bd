"""Adapter to the users' platform: its settings, messages and calls as our own types.

It makes no scheduling decisions. Each name of the platform is decoded in one place,
into a field with the project's name; a comment explains names that may mislead.
"""
