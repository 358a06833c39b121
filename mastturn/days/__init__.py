"""Draws randomized test days from a site's troubles by number, and tabulates the results of their runs."""
