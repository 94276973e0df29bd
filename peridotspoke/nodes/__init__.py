"""The node program: answers callers, owns units and supervises their pools."""
