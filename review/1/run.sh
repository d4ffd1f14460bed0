#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" removals "$(cd "$(dirname "$0")" && pwd)" 110
