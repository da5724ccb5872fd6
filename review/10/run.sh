#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the bodies are sent with a length.
cd "$(dirname "$0")" && exec timeout 60 python3 case.py
