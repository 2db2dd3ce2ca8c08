package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

type queryCommand struct {
	daemon   string
	service  string
	class    string
	tenant   string
	key      string
	ticket   string
	deadline time.Duration
	json     bool
}

func (*queryCommand) Name() string     { return "query" }
func (*queryCommand) Synopsis() string { return "ask as a caller does" }
func (*queryCommand) Usage() string {
	return "query [-daemon ADDRESS] -service NAME -class NAME [-key KEY] [JSON]\n\n" +
		"Asks a query and prints answer, coverage, snapshot and latency. With -key it makes\na non-idempotent request, which runs at most once.\n\n"
}

func (c *queryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemon, "daemon", "127.0.0.1:7000", "callers' `address` of a daemon")
	f.StringVar(&c.service, "service", "", "`name` of the service")
	f.StringVar(&c.class, "class", "", "`name` of the class")
	f.StringVar(&c.tenant, "tenant", "", "`name` of the tenant")
	f.StringVar(&c.key, "key", "", "`key` of a non-idempotent request")
	f.StringVar(&c.ticket, "ticket", "", "`ticket` of an earlier try")
	f.DurationVar(&c.deadline, "deadline", 0, "shorter `deadline` than the class's")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *queryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" || c.class == "" {
		return misuse("query: -service and -class are needed")
	}
	body := `{}`
	if f.NArg() > 0 {
		body = f.Arg(0)
	}
	request := caller.Request{
		Service:        c.service,
		Class:          c.class,
		Tenant:         c.tenant,
		Key:            c.key,
		Ticket:         c.ticket,
		Body:           json.RawMessage(body),
		DeadlineMillis: int(c.deadline.Milliseconds()),
	}
	client := caller.New("http://"+c.daemon, &http.Client{})
	ask := client.Search
	if c.key != "" {
		ask = client.Submit
	}
	answer, err := ask(ctx, request)
	if err != nil {
		return fail(fmt.Errorf("%s: %w", answer.Outcome, err))
	}
	if c.json {
		return printJSON(answer)
	}
	printAnswer(answer)
	return subcommands.ExitSuccess
}

func printAnswer(a caller.Answer) {
	fmt.Printf("%s  snapshot %s  coverage %d/%d  %.1f ms  %d shard requests, %d extra\n",
		a.Outcome, a.Snapshot, a.Coverage.Answered, a.Coverage.Shards, a.ElapsedMillis, a.ShardRequests, a.ExtraRequests)
	for shard, reason := range a.Coverage.Missing {
		fmt.Printf("  missing %s: %s\n", shard, reason)
	}
	for _, hit := range a.Hits[:min(3, len(a.Hits))] {
		fmt.Printf("  %.3f %s\n", hit.Score, hit.ID)
	}
}
