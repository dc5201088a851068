#!/usr/bin/env bash
# A burst of jobs on a queue with a policy. TROUBLE=0: no burst.
here=$(dirname "$0")
exec "$here/../harness-2/run-case.sh" policy "$here/record.txt"
