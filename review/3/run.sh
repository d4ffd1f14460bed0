#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" pages "$(cd "$(dirname "$0")" && pwd)" 60
