#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" compaction "$(cd "$(dirname "$0")" && pwd)" 110
