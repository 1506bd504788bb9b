"""Fakes of the platform, upstreams and stores, for tests; not part of a release."""
