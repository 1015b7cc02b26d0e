"""A request scheduler for a mixed fleet of model engines and plain services."""
