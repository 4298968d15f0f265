"""Serves a process's metrics over HTTP."""

from aiohttp import web

from bulrushhold import node

METRICS_PATH = '/metrics'


def metrics_application(metrics: node.PrometheusMetrics) -> web.Application:
    """Return the application with the Prometheus metrics endpoint."""

    async def handle_metrics(request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=metrics.text(), headers={'Content-Type': 'text/plain'}
        )

    app = web.Application()
    app.router.add_get(METRICS_PATH, handle_metrics)
    return app
