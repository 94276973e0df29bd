"""Starts aiohttp applications on loopback."""

from aiohttp import web

__all__ = ["start_server"]


async def start_server(application, host="127.0.0.1", port=0):
    """Serve `application` and return its runner and its address.

    Parameters
    ----------
    application : aiohttp.web.Application
    host : str, optional
    port : int, optional
        0 takes a free port.

    Returns
    -------
    tuple of (aiohttp.web.AppRunner, str)
        The caller ends the server by ``await runner.cleanup()``.
    """
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    return runner, f"{host}:{bound_port}"
