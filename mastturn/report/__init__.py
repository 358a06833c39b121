"""Reports of runs: terminal tables, plots and an HTML page."""
