"""The edge router: forwards callers' requests to upstreams without a grant."""
