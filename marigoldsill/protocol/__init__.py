"""Messages between processes, and the formats of HTTP bodies and intent files."""
