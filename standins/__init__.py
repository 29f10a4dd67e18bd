"""Stand-ins for the platform's workers, their endpoints and the adviser."""
