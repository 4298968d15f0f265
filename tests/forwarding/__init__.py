"""Tests of the forwarding path with failing backend servers."""
