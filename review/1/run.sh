#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
[ -d target/review ] && [ -f target/cleathitch.jar ] || { echo "run the deploy file's build and review/build.sh first"; exit 2; }
java -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.idleInterval=300 -Dsun.net.httpserver.maxIdleConnections=2000 \
    -Djdk.httpclient.keepalive.timeout=20 -cp 'target/review:target/lib/*' review.OldReport "$folder" "$PWD" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
wait "$pid"
# The JVM itself ends with 1 if it fails, so the program says "broken" with a code of its own.
case $? in
    0) exit 0 ;;
    41) exit 1 ;;
    *) exit 2 ;;
esac
