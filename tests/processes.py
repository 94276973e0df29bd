"""Runs the programs as separate processes, for tests and benchmarks."""

import contextlib
import os
import re
import signal
import subprocess
import sys
import threading
import time

START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 20.0  # seconds


class ProgramProcess:
    """A program that runs as a separate process.

    Parameters
    ----------
    program : str
        Name of the program's module in `peridotspoke.programs`.
    *arguments : str
        Positional arguments of the command.
    **flags : object
        Flags of the command by name.

    Attributes
    ----------
    lines : list of str
        The lines of the standard error stream so far, which are the log.
    """

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
        """The process ID."""
        return self._process.pid

    def _read_lines(self):
        for line in self._process.stderr:
            with self._changed:
                self.lines.append(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._changed.notify_all()

    def wait_for_event(self, event, limit=START_TIMEOUT):
        """Wait for the first log line of an event.

        Parameters
        ----------
        event : str
            Name of the event.
        limit : float, optional
            Seconds to wait.

        Returns
        -------
        dict of str to str
            The fields of the log line.

        Raises
        ------
        AssertionError
            If the process ends or the time is over before the event is logged.
        """
        deadline = time.monotonic() + limit
        with self._changed:
            while True:
                for line in self.lines:
                    if f"event={event} " in line + " ":
                        return dict(re.findall(r'(\S+?)=("[^"]*"|\S+)', line))
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self._process.poll() is not None:
                    raise AssertionError(
                        f"event {event} was not logged; log lines: {self.lines}"
                    )
                self._changed.wait(min(remaining, 0.1))

    def has_event(self, event):
        """Return whether an event has been logged."""
        return any(f"event={event} " in line + " " for line in list(self.lines))

    def is_running(self):
        """Return whether the process is still running."""
        return self._process.poll() is None

    def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        self._process.kill()
        self._process.wait(STOP_TIMEOUT)

    def pause(self):
        """Pause the process with SIGSTOP."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self):
        """Resume a paused process with SIGCONT."""
        os.kill(self._process.pid, signal.SIGCONT)

    def terminate(self):
        """Ask the process to stop with SIGTERM."""
        self._process.terminate()

    def wait(self, limit=STOP_TIMEOUT):
        """Wait up to `limit` seconds for the process to end; return its exit status."""
        return self._process.wait(limit)

    def close(self):
        """Kill the process, even if it is paused or has ended, and close its log."""
        with contextlib.suppress(ProcessLookupError):
            self.resume()
        self.kill()
        self._reader.join(STOP_TIMEOUT)
        self._process.stderr.close()


def run_program(program, *arguments, **flags):
    """Run a program until it ends and return the `subprocess.CompletedProcess`."""
    command = [sys.executable, "-c", _make_script(program), *arguments]
    command += [f"--{name}={value}" for name, value in flags.items()]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=START_TIMEOUT, check=False
    )


def _make_script(program):
    return f"from peridotspoke.programs.{program} import main; main()"
