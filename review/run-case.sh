#!/usr/bin/env bash
# Plays CASE of the stand-ins into FOLDER: run-case.sh CASE FOLDER SECONDS
set -u
case_name=$1 folder=$2 seconds=$3
cd "$(dirname "$0")/.."
standin=target/review/standin program=target/release/wagtailsaddle
if [ ! -x "$standin" ] || [ ! -x "$program" ]; then
    echo "the program or the stand-ins are not built" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
clean_up() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            # Only processes that this run has started: they read its settings.
            if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -qF "$CASE_TMP/"; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$CASE_TMP/pids"
    fi
    rm -rf "$CASE_TMP"
}
trap clean_up EXIT
timeout -k 5 "$seconds" "$standin" "$case_name" "$program" "$folder"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
