"""Proof of ragwortworks by behave features."""
