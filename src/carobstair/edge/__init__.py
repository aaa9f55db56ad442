"""The edge router: forwards callers' requests to upstreams without grants."""
