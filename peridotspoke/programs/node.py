"""peridotspoke-node: the program on each instance of the prepared machines."""

import asyncio
import signal
import sys
from functools import partial

from peridotspoke.exceptions import SettingsError
from peridotspoke.librarylogs import capture_library_logs
from peridotspoke.logs import configure_logs, log_event
from peridotspoke.logsink import BoundedSink
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.parts import BoottimeClock
from peridotspoke.nodes.reloading import SettingsReload
from peridotspoke.platform import (
    Ingress,
    assemble_node,
    decode_submission,
    read_settings_file,
)

__all__ = ["main"]

EXIT_USAGE = 2
DRAIN_SHARE = 0.55  # share of the grace period in which requests are still served
LOG_LIMIT = 0.2  # seconds for which the end waits for the reader of the log


async def _run(settings, sink, library_logs):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    parts, node = assemble_node(settings)
    sink.on_left_out = partial(_count_left_out, parts.metrics)
    library_logs.on_message = partial(_count_library_message, parts.metrics)
    job_handler = JobRequestHandler(parts, decode_submission)
    ingress = Ingress(settings, job_handler, parts.render_metrics, parts.metrics)
    await ingress.open()
    node.start()
    reload = SettingsReload(parts, read_settings_file)
    loop.add_signal_handler(signal.SIGHUP, reload.request_reload)
    reload_task = asyncio.ensure_future(reload.run())
    log_event("started", front=settings.front, zone=settings.zone)
    await stop_requested.wait()
    log_event("stopping", grace=settings.bounds.grace)
    reload_task.cancel()
    ingress.start_draining()
    await node.release_units()
    await asyncio.sleep(settings.bounds.grace * DRAIN_SHARE)
    await ingress.close()
    await node.stop()
    log_event("stopped")


def _count_left_out(metrics, event):
    metrics.count("log_lines_left_out", event=event)


def _count_library_message(metrics, name):
    metrics.count("library_messages", logger=name)


def main():
    """Run the node until SIGTERM or SIGINT.

    The exit status is 2 if the settings file is invalid. The log lines that wait for
    their reader are written before the process ends.
    """
    try:
        settings = read_settings_file()
    except SettingsError as error:
        print(f"peridotspoke-node: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sink = BoundedSink(sys.stdout.fileno(), BoottimeClock())
    configure_logs("node", settings.name, stream=sink)
    library_logs = capture_library_logs(BoottimeClock())
    try:
        asyncio.run(_run(settings, sink, library_logs))
    finally:
        sink.finish(LOG_LIMIT)


if __name__ == "__main__":
    main()
