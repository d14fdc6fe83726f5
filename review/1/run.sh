#!/bin/bash
# The gateway processes start again after the engines of a service were replaced by those of another
# software version: first all are killed at once, then, in a second run, they are stopped and started
# in turn. TROUBLE=0: neither.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/jacinthdeal-gateway ] && [ -x target/review/release/versions_joined ] || {
    echo "build with the command of deploy/system.toml and review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
broken=0
failed=0
: > "$here/record.txt"
for variant in kill roll; do
    mkdir "$folder/$variant"
    target/review/release/versions_joined "$folder/$variant" "$folder/record.txt" $variant
    case $? in 0) ;; 1) broken=1 ;; *) failed=1 ;; esac
    echo "variant $variant" >> "$here/record.txt"
    cat "$folder/record.txt" >> "$here/record.txt"
done
rm -rf "$folder"
[ $broken = 1 ] && exit 1
[ $failed = 1 ] && exit 2
exit 0
