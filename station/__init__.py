"""The former name of `mastturnd`; see docs/NAMING.md."""
