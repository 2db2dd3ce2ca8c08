package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/daemon"
	"github.com/fuchsiastile/fuchsiastile/internal/operator"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

type statusCommand struct {
	daemons string
	json    bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the generations that daemons have in force" }
func (*statusCommand) Usage() string {
	return "status -daemons ADDRESSES [-json]\n\nQueries daemons at their operator addresses.\n\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemons, "daemons", "127.0.0.1:7002", "comma-separated operator `addresses`")
	f.BoolVar(&c.json, "json", false, "print the status as JSON")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	statuses, err := operator.Status(ctx, strings.Split(c.daemons, ","))
	if c.json {
		if code := printJSON(statuses); code != subcommands.ExitSuccess {
			return code
		}
	} else {
		printStatus(statuses)
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func printStatus(statuses []daemon.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "DAEMON\tREADY\tDECLARATIONS\tIN FORCE FOR\tINDEXES\tVMS\tMEMBERS\tADMITTED")
	for _, s := range statuses {
		declarations := s.Documents[declarer.DocumentDeclarations]
		since := "-"
		if declarations.Generation > 0 {
			since = time.Since(declarations.Since).Round(time.Second).String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%v\t%d\t%s\t%d\t%d\t%d\t%.0f%%\n", s.Name, s.Ready, declarations.Generation, since,
			s.Documents[declarer.DocumentIndexes].Generation, s.Documents[declarer.DocumentVMs].Generation,
			len(s.Members), 100*s.AdmittedShare)
	}
}
