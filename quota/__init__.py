"""Tenants' allowances of tokens, pure: the ledger of who draws what, and each replica's accounts."""
