// Command stand-2 runs one case of the review: the system's own processes of a small deployment, with stand-ins for the
// platform's store and routers, for endpoints and for clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(s *site, trouble bool) error{
	"late-withdrawal": lateWithdrawal,
	"late-heartbeat":  lateHeartbeat,
	"other-writer":    otherWriter,
	"roll":            roll,
	"stalled-log":     stalledLog,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: stand-2 CASE RECORD")
		return exitNotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, with the disruption: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](s, trouble)
	broken := s.broken()
	s.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		fmt.Printf("broken: %d times, see %s\n", broken, os.Args[2])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
