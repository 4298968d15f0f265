#!/bin/sh
exec sh "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
