#!/usr/bin/env bash
# Runs case 1. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/jujube-gateway && -x build/review/case-1 ]] || exit 2
exec build/review/case-1 target/jujube-gateway review/1/record.txt
