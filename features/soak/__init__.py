"""A fault soak: real host processes among stand-ins that misbehave."""
