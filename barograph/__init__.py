"""The control state: a primary that writes to its backups before it answers, and witnesses with epochs."""
