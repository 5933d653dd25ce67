"""Code generated from schema/ by schema/generate.sh."""
