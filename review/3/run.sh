#!/bin/bash
# The store comes back from a copy while an instance is restarted. TROUBLE=0: it does not.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/jacinthdeal-gateway ] && [ -x target/review/release/restored_revocation ] || {
    echo "build with the command of deploy/system.toml and review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
target/review/release/restored_revocation "$folder" "$here/record.txt"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
