"""Per-tenant token quotas without I/O: the ledger of grants, and the account that each replica keeps."""
