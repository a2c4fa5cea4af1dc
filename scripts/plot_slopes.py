#!/usr/bin/env python3
"""Plots the CSV of ledge-bench, one panel per measurement, and prints the slope between the first and the last point.

    plot_slopes.py CSV IMAGE
"""
import csv
import sys

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plot

points_by_measurement = {}
for row in csv.DictReader(open(sys.argv[1])):
    points_by_measurement.setdefault((row["what"], row["unit"]), []).append((float(row["size"]), float(row["value"])))
column_count = 4
figure, panels = plot.subplots(-(-len(points_by_measurement) // column_count), column_count, figsize=(16, 10))
for panel, ((what, unit), points) in zip(panels.flat, sorted(points_by_measurement.items())):
    sizes, values = zip(*points)
    panel.plot(sizes, values, marker="o")
    panel.set_title(f"{what} ({unit})", fontsize=9)
    panel.set_ylim(bottom=0)
    if sizes[-1] > sizes[0]:
        print(f"{what}: {(values[-1] - values[0]) / (sizes[-1] - sizes[0]):.4g} {unit} per unit of size")
for panel in panels.flat[len(points_by_measurement):]:
    panel.axis("off")
figure.tight_layout()
figure.savefig(sys.argv[2])
