"""cranebank: load-balancing decisions for services that call services."""

from cranebank.decisions.balance import Balancer

__all__ = ["Balancer"]
