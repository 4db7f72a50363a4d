#!/usr/bin/env bash
# A sound replica pauses in streams that can't be resumed, after a SIGHUP of the gateway.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" "$here" silent-stream
