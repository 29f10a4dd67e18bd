"""The users' platform: its settings, bodies and calls, as our own types.

Nothing here decides. A name of the platform is decoded once, into a type whose
fields say what they hold; a comment stands where the name would mislead.
"""
