package lentillibrarymeasure

import "strings"

// program is a program that starts, uses its libraries once and exits.
type program struct {
	name    string
	imports []string
	body    string
}

// programs lists the programs to compare: one without libraries, one for each library that
// the product uses, and one for its counterpart in the standard library if there is one.
var programs = []program{
	{name: "none"},
	{name: "errorx", imports: []string{`"github.com/joomcode/errorx"`}, body: `_ = errorx.IllegalArgument.New("one")`},
	{name: "phuslu", imports: []string{`"github.com/phuslu/log"`}, body: `log.DefaultLogger.Info().Msg("one")`},
	{name: "slog", imports: []string{`"log/slog"`}, body: `slog.Info("one")`},
	{
		name: "cli", imports: []string{`"context"`, `"github.com/urfave/cli/v3"`},
		body: `_ = (&cli.Command{Action: func(context.Context, *cli.Command) error { return nil }}).Run(context.Background(), []string{"one"})`,
	},
	{name: "flag", imports: []string{`"flag"`}, body: `flag.Parse()`},
	{name: "http", imports: []string{`"net/http"`}, body: `_ = http.NewServeMux()`},
	{
		name: "tally",
		imports: []string{
			`"github.com/uber-go/tally/v4"`, `tallyprom "github.com/uber-go/tally/v4/prometheus"`,
			`prom "github.com/prometheus/client_golang/prometheus"`, `"github.com/prometheus/client_golang/prometheus/promhttp"`,
		},
		body: `registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{CachedReporter: reporter, Separator: tallyprom.DefaultSeparator, OmitCardinalityMetrics: true}, 0)
	scope.Counter("one").Inc(1)
	_ = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	_ = closer.Close()`,
	},
	{
		name: "connect", imports: []string{`"net/http"`, `"connectrpc.com/connect"`},
		body: `_ = connect.NewClient[struct{}, struct{}](http.DefaultClient, "http://127.0.0.1")`,
	},
	{name: "protoactor", imports: []string{`"github.com/asynkron/protoactor-go/actor"`}, body: `actor.NewActorSystem().Shutdown()`},
}

// printStatusSource is the end of every program. It prints the process status, which has the
// peak memory. The resource usage that the system reports for an exited child can't be used,
// because it includes the memory of the parent.
const printStatusSource = `	if status, err := os.ReadFile("/proc/self/status"); err == nil {
		_, _ = os.Stdout.Write(status)
	}
`

// source returns the Go source of the program.
func (p *program) source() (text string) {
	var b strings.Builder
	b.WriteString("package main\n\nimport \"os\"\n")
	for _, i := range p.imports {
		b.WriteString("import " + i + "\n")
	}
	b.WriteString("\nfunc main() {\n\t" + p.body + "\n" + printStatusSource + "}\n")
	return b.String()
}
