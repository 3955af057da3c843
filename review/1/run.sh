#!/usr/bin/env bash
# Runs the case, without its disruption if TROUBLE is 0. Exit code 1: the rule was broken, 0: it held, 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/case-1 ] || [ ! -x target/crocusplank-vm ]; then
  echo "could not run: build the deploy file and review/build.sh first"
  exit 2
fi
exec review/bin/case-1 target/crocusplank-vm review/1
