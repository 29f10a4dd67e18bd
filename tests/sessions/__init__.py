"""Golden files of whole operator sessions."""
