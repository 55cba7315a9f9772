"""Wire protocols: the platform's lines, NATS clients, discovery over HTTP, probes, agent checks and store peers."""
