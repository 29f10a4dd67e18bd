"""Small stand-ins for the platform worker and its endpoints."""
