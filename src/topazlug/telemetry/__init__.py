"""Recording, exposition and push of metrics."""
