"""Measured programs run in a process of their own, so that only their time and memory are counted."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from typing import Any

WAIT_S = 120.0


class Child:
    """The other side of a child: questions go down, answers come up."""

    def __init__(self, pipe: Connection) -> None:
        self._pipe = pipe

    def ask(self, question: Any) -> Any:
        """The answer; raises TimeoutError where none comes."""
        self.tell(question)
        return self.hear()

    def tell(self, what: Any) -> None:
        """Say something that may have an answer later."""
        self._pipe.send(what)

    def hear(self) -> Any:
        """What it says next; raises TimeoutError where nothing comes or it has ended."""
        if not self._pipe.poll(WAIT_S):
            raise TimeoutError("the measured process says nothing; run the measurement again")
        try:
            return self._pipe.recv()
        except EOFError:
            raise TimeoutError("the measured process has ended; see its traceback above") from None


@contextmanager
def child(main: Callable[..., None], *args: Any) -> Iterator[Child]:
    """Run `main(pipe, *args)` in a fresh interpreter; it is ended with the block."""
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    process = context.Process(target=main, args=(far, *args), daemon=True)
    process.start()
    far.close()  # so that we hear of it if the child ends
    try:
        yield Child(near)
    finally:
        process.kill()
        process.join()
