package lentilmeasure

import "lentilstair.example/lentilstair/internal/lentilfigure"

// experiments is the table of all experiments.
var experiments = []lentilfigure.Experiment{}
