package lentilmeasure

import (
	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilcoldmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilcontrolmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentildomainmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilflowmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilhedgemeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilimbalancemeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentillibrarymeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentiloverloadmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilpacketmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilplacementmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilrecoverymeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilrestartmeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilroutemeasure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilsitemeasure"
)

// experiments lists every experiment, in the order in which NameAll runs them.
var experiments = []lentilfigure.Experiment{
	lentilflowmeasure.Experiment,
	lentilroutemeasure.Experiment,
	lentilimbalancemeasure.Experiment,
	lentillibrarymeasure.Experiment,
	lentiloverloadmeasure.Experiment,
	lentilcoldmeasure.Experiment,
	lentilcontrolmeasure.Experiment,
	lentildomainmeasure.Experiment,
	lentilpacketmeasure.Experiment,
	lentilplacementmeasure.Experiment,
	lentilhedgemeasure.Experiment,
	lentilrecoverymeasure.Experiment,
	lentilrestartmeasure.Experiment,
	lentilsitemeasure.Experiment,
}
