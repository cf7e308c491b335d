#!/usr/bin/env bash
# Builds what the platform runs, without tests, format and lint.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -Dkotlin.compiler.incremental=true -Dmaven.test.skip=true -Dspotless.check.skip=true -Ddetekt.skip=true package
