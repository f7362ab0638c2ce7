#!/usr/bin/env bash
# Runs this case; see ../common/run. With TROUBLE=0 it runs without the disruption.
exec "$(dirname "$0")/../common/run" 3
