"""Forwarding of whole HTTP requests to replicas, by route and context.

A request enters by a route (host and path prefix), is placed on a replica
that probably holds the context of its prompt, and its answer comes back
unchanged. The names on the wire are a `TargetWire` and a `CallerWire`
(`_wire`), so that one core serves any platform.
"""
