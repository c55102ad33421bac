#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/cleathitch.jar ] || [ ! -f target/review-2/Cases.class ]; then
    echo "not built: see deploy/service.toml and review/build-2.sh" >&2
    exit 2
fi
java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp 'target/review-2:target/lib/*' Cases "$PWD" guarantee "$PWD/review/8" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
wait "$pid"
result=$?
case $result in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
