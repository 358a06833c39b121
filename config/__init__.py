"""Settings of a process and the operators' configuration: read, checked, with errors that name a remedy."""
