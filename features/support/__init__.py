"""Fixtures and helpers of the features."""
