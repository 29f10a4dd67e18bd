"""Messages between processes and the shapes of HTTP and intent files."""
