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
func (*queryCommand) Synopsis() string { return "send a request as a caller" }
func (*queryCommand) Usage() string {
	return "query [-daemon ADDRESS] -service NAME -class NAME [-key KEY] [JSON]\n\n" +
		"Sends a query and prints answer, coverage, snapshot and latency. With -key it sends\na non-idempotent request, which runs at most once.\n\n"
}

func (c *queryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemon, "daemon", "127.0.0.1:7000", "caller `address` of a daemon")
	f.StringVar(&c.service, "service", "", "`name` of the service")
	f.StringVar(&c.class, "class", "", "`name` of the request class")
	f.StringVar(&c.tenant, "tenant", "", "`name` of the tenant")
	f.StringVar(&c.key, "key", "", "`key` that selects the shard of a non-idempotent request")
	f.StringVar(&c.ticket, "ticket", "", "`ticket` of an earlier attempt of the same request")
	f.DurationVar(&c.deadline, "deadline", 0, "`deadline` of the request, if shorter than that of its class")
	f.BoolVar(&c.json, "json", false, "print the answer as JSON")
}

func (c *queryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" || c.class == "" {
		return usageError("query: -service and -class are required")
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
	send := client.Search
	if c.key != "" {
		send = client.Submit
	}
	answer, err := send(ctx, request)
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
