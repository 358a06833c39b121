"""The program of the system: `python3 -m mastturnd ROLE`."""
