"""Measurements: each prints a short table and returns JSON data."""
