"""End-to-end tests with separate processes."""
