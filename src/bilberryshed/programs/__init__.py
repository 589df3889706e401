"""Command-line programs, one module for each."""
