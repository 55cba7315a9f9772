"""The daemon's process: configuration, start, reload and stop.

``config`` reads and checks the configuration, ``listeners`` accepts downstreams, ``front`` connects one listener with
its cluster and its decisions, and ``daemon`` owns all parts and handles signals.
"""
