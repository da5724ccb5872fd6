#!/usr/bin/env bash
# Plots the windows of `ibisturn-bench load`: plot-load.sh [LOAD.TSV [PICTURE.SVG]]. Needs gnuplot.
set -euo pipefail
DATA=${1:-load.tsv}
PICTURE=${2:-${DATA%.tsv}.svg}
gnuplot <<PLOT
set terminal svg size 900,420 background "white"
set output "$PICTURE"
set datafile separator "\t"
set key outside right
set xlabel "second of arrival"
set ylabel "share of requests on time"
set yrange [0:1]
share(policy) = sprintf("< awk -F'\\\\t' -v OFS='\\\\t' '\$1 == \"%s\" && \$3 > 0 {print \$2, \$4 / \$3}' $DATA", policy)
plot for [policy in "table least-load random"] share(policy) using 1:2 with linespoints title policy
PLOT
echo "$PICTURE"
