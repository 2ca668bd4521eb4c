"""ragwortworks library."""
