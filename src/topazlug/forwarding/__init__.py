"""Forwarding of whole HTTP requests to replicas, by route and context.

A request is matched to a route (host and path prefix) and sent to a replica,
preferably one that holds the context of its prompt. The caller gets the
replica's answer unchanged. A `CallerHeaderDecoder` and a `ReplicaHeaderCodec`
(`_wire`) translate the headers of a platform; the rest is independent of it.
"""
