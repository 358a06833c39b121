"""Parses and validates process settings and the operators' configuration; every error names a remedy."""
