"""Starts the programs as separate processes on loopback, for tests."""

import contextlib
import os
import re
import signal
import subprocess
import sys
import threading
import time

START_LIMIT = 20.0  # seconds
STOP_LIMIT = 20.0  # seconds


class ProgramProcess:
    """One running program; its log lines are collected in `lines`."""

    def __init__(self, program, *arguments, **flags):
        command = [sys.executable, "-c", _make_script(program), *arguments]
        command += [f"--{name}={value}" for name, value in flags.items()]
        self._process = subprocess.Popen(
            command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL, text=True
        )
        self.lines = []
        self._changed = threading.Condition()
        self._reader = threading.Thread(target=self._read_lines, daemon=True)
        self._reader.start()

    @property
    def pid(self):
        """The identity of the process."""
        return self._process.pid

    def _read_lines(self):
        for line in self._process.stderr:
            with self._changed:
                self.lines.append(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._changed.notify_all()

    def wait_for_event(self, event, limit=START_LIMIT):
        """Return the pairs of the first log line of `event`."""
        ends_at = time.monotonic() + limit
        with self._changed:
            while True:
                for line in self.lines:
                    if f"event={event} " in line + " ":
                        return dict(re.findall(r'(\S+?)=("[^"]*"|\S+)', line))
                left = ends_at - time.monotonic()
                if left <= 0 or self._process.poll() is not None:
                    raise AssertionError(f"no {event} in {self.lines}")
                self._changed.wait(min(left, 0.1))

    def is_running(self):
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def kill(self):
        """End the process at once."""
        self._process.kill()
        self._process.wait(STOP_LIMIT)

    def freeze(self):
        """Pause the process."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        os.kill(self._process.pid, signal.SIGCONT)

    def ask_to_stop(self):
        """Send SIGTERM."""
        self._process.terminate()

    def wait(self, limit=STOP_LIMIT):
        """Return the exit status."""
        return self._process.wait(limit)

    def close(self):
        """End the process, whatever its state."""
        with contextlib.suppress(ProcessLookupError):
            self.resume()
        self.kill()
        self._reader.join(STOP_LIMIT)
        self._process.stderr.close()


def run_program(program, *arguments, **flags):
    """Run a program to its end and return the completed process."""
    command = [sys.executable, "-c", _make_script(program), *arguments]
    command += [f"--{name}={value}" for name, value in flags.items()]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=START_LIMIT, check=False
    )


def _make_script(program):
    return f"from peridotspoke.programs.{program} import main; main()"
