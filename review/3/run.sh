#!/bin/bash
# The gateway processes are stopped and started in turn while engines of two software versions serve
# beside each other. TROUBLE=0: they are not stopped.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/jacinthdeal-gateway ] && [ -x target/review/release/versions_joined ] || {
    echo "build with the command of deploy/system.toml and review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
target/review/release/versions_joined "$folder" "$here/record.txt" stay
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
