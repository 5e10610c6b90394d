#!/usr/bin/env bash
# Brings every module's go.mod and go.sum up to date. Modules of the workspace
# require each other at v0.0.0 and find each other through replace directives,
# so that each also builds alone.
set -euo pipefail
cd "$(dirname "$0")/.."
prefix=github.com/knapweedweir/knapweedweir
modules=$(go list -m -f '{{.Path}}' | sed "s|^$prefix/||")
for m in $modules; do
  (
    cd "$m"
    for other in $modules; do
      [ "$other" = "$m" ] || go mod edit -replace="$prefix/$other=../$other"
    done
    GOWORK=off go mod tidy
  )
done
go work sync
