"""Tools that build what is shipped."""
