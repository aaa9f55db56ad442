#!/bin/sh
# Ignored signals stay so over exec, until the interpreter has handlers of its own.
trap '' HUP USR1 USR2
exec python3 deploy/router.py
