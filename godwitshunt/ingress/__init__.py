"""Requests of routes: callers without keys, upstreams with incarnations."""

from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.routes import RouteTable
from godwitshunt.ingress.task import IngressTask

__all__ = ['HeaderNames', 'IngressTask', 'RouteTable']
