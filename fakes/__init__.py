"""Test doubles for the platform, engines and services."""
