"""Serves requests of routes at an entry VM."""

from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.task import IngressTask
from godwitshunt.picking.routes import RouteTable

__all__ = ['HeaderNames', 'IngressTask', 'RouteTable']
