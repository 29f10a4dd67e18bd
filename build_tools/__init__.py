"""Tools that build the binary and the settings reference."""
