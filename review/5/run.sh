#!/bin/sh
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps:../lib exec python3 case.py
