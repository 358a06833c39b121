"""`python -m tests.fuzz_long --seconds 3600`: the properties of bad input with fresh examples, for so long.

Each round is a process of its own, so that what ends a process (a fault in a library) ends one round. Prints
a line a round, then what was tried of each kind and the most memory of any round. Exit code: 0 if all held.
"""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from absl import app, flags

FLAGS = flags.FLAGS
flags.DEFINE_float("seconds", 3600.0, "How long; a round that has begun is finished.")
flags.DEFINE_integer("examples", 400, "Of each property in a round.")
FILE = Path(__file__).parent / "test_fuzz.py"


def main(argv: list[str]) -> int:
    """Play rounds until the time is up."""
    del argv
    began, rounds, failed = time.monotonic(), 0, 0
    tried: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder:
        counts = Path(folder) / "counts"
        environment = os.environ | {"FUZZ_EXAMPLES": str(FLAGS.examples), "FUZZ_COUNTS": str(counts)}
        while time.monotonic() - began < FLAGS.seconds:
            command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--tb=short"]
            command += [f"--basetemp={folder}/files", str(FILE)]
            done = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
            rounds += 1
            if done.returncode != 0:
                failed += 1
                print(done.stdout[-8000:], done.stderr[-8000:], flush=True)
            if counts.exists():
                for line in counts.read_text(encoding="utf-8").splitlines():
                    tried.update(json.loads(line))
                counts.unlink()
            passed = time.monotonic() - began
            print(f"{passed:6.0f} s  round {rounds}  examples {tried.total()}  failed {failed}", flush=True)
    peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    print(", ".join(f"{name} {count}" for name, count in sorted(tried.items())))
    print(f"{rounds} rounds, {tried.total()} examples, {failed} rounds failed, at most {peak:.0f} MB")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
