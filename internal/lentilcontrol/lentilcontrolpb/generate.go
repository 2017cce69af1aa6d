// Package lentilcontrolpb holds the protobuf messages of the control protocol, by which
// balancers, agents and operators' commands exchange agent records, balancer membership,
// configuration and status. They are generated from control.proto.
package lentilcontrolpb

//go:generate buf generate --template buf.gen.yaml
