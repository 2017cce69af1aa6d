// Package lentilcontrolpb holds the messages of control between the system's
// own processes, generated from control.proto.
package lentilcontrolpb

//go:generate buf generate --template buf.gen.yaml
