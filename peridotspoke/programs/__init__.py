"""The programs, one module each, and the modules that they share."""
