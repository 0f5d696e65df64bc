"""Random faults on real relay hosts; run by tools/soak."""
