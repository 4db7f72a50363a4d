#!/usr/bin/env bash
# A replica leaves while a gateway that starts reads the list of replicas page by page.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" "$here" two-page-list
