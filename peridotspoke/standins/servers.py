"""Serves aiohttp applications over HTTP, on loopback by default."""

from aiohttp import web

__all__ = ["start_server"]


async def start_server(application, host="127.0.0.1", port=0):
    """Start serving an application.

    Parameters
    ----------
    application : aiohttp.web.Application
        Application to serve.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port to listen on; 0 picks a free port.

    Returns
    -------
    tuple of (aiohttp.web.AppRunner, str)
        The runner and the address as ``host:port``. The caller stops the server
        with ``await runner.cleanup()``.
    """
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    return runner, f"{host}:{bound_port}"
