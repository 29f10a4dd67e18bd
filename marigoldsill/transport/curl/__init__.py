"""Single HTTP calls with curl, on one connection each."""
