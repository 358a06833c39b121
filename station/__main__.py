"""`python3 -m station` is `python3 -m mastturnd` under its former name, for one release."""

from __future__ import annotations

import signal

if __name__ == "__main__":  # unhandled it ends us, and to import the rest takes time
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import runpy
import sys


def main() -> None:
    """Run the program, with a line on its name."""
    print("the program station is named mastturnd now; run python3 -m mastturnd", file=sys.stderr)
    runpy.run_module("mastturnd", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
