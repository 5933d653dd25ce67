#!/usr/bin/env bash
# Makes the typed messages, settings and rows from the schema. The result is
# committed, so a build does not need this program.
set -eu
cd "$(dirname "$0")/.."
python=${PYTHON:-.venv/bin/python}
out=src/topazlug/_generated
mkdir -p "$out"
printf '"""Code generated from schema/ by schema/generate.sh."""\n' \
    > "$out/__init__.py"
for name in settings table messages; do
    "$python" -W ignore -m datamodel_code_generator \
        --input "schema/$name.yaml" --input-file-type jsonschema \
        --output "$out/$name.py" --disable-timestamp \
        --output-model-type msgspec.Struct --target-python-version 3.11 \
        --use-schema-description --use-annotated \
        --use-standard-collections --use-union-operator \
        --set-default-enum-member --use-double-quotes
    "$python" schema/finish.py "$out/$name.py"
done
