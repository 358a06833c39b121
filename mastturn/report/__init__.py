"""What runs show: tables, pictures and one page a run."""
