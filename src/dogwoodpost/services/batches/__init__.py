"""Durable batch jobs: acceptance, runs, results and takeovers."""
