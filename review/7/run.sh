#!/usr/bin/env bash
# A burst of jobs on a queue with a policy. TROUBLE=0: no burst.
exec "$(dirname "$0")/../harness-2/run-case.sh" policy "$(dirname "$0")"
