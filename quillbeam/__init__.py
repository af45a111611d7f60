"""quillbeam: load-balancing decisions for services that call services."""

from quillbeam.balancer import Balancer

__all__ = ["Balancer"]
