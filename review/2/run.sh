#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS names a folder for the routers' logs.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing" >&2; exit 2; }
python3 -B case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
