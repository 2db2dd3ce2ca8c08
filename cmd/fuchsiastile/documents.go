package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/operator"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// commandTimeout limits the platform calls of one command.
const commandTimeout = 30 * time.Second

// platformFlags are the flags shared by commands that read or write documents.
type platformFlags struct {
	platform string
	document string
	daemons  string
}

func (p *platformFlags) set(f *flag.FlagSet) {
	f.StringVar(&p.platform, "platform", "http://127.0.0.1:9000", "base `URL` of the platform")
	f.StringVar(&p.document, "document", declarer.DocumentDeclarations, "`name` of the document: declarations or indexes")
}

func (p *platformFlags) setDaemons(f *flag.FlagSet) {
	f.StringVar(&p.daemons, "daemons", "", "comma-separated operator `addresses` of daemons; the new generation is above all generations that they have in force")
}

func (p *platformFlags) store() publisher.Store {
	return publisher.NewStore(watcher.New(dialer.System(), p.platform))
}

// highestGeneration returns the highest generation of the document that the
// daemons of -daemons have in force.
func (p *platformFlags) highestGeneration(ctx context.Context) (uint64, error) {
	if p.daemons == "" {
		return 0, nil
	}
	statuses, err := operator.Status(ctx, strings.Split(p.daemons, ","))
	return operator.HighestGeneration(statuses, p.document), err
}

type checkCommand struct {
	settings bool
	indexes  bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate files offline" }
func (*checkCommand) Usage() string {
	return "check [-settings|-indexes] FILE...\n\nValidates declarations, or settings or indexes, and prints each error with its\nposition.\n\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.settings, "settings", false, "the files are settings")
	f.BoolVar(&c.indexes, "indexes", false, "the files are indexes")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usageError("check: no file given")
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if err := c.check(file); err != nil {
			status = fail(err)
			continue
		}
		fmt.Println(file + ": valid")
	}
	return status
}

func (c *checkCommand) check(file string) error {
	if c.settings {
		_, err := loader.Load(file)
		return err
	}
	document := declarer.DocumentDeclarations
	if c.indexes {
		document = declarer.DocumentIndexes
	}
	_, err := operator.ReadDocument(document, file)
	return err
}

type applyCommand struct{ platformFlags }

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a document" }
func (*applyCommand) Usage() string {
	return "apply [-platform URL] [-document NAME] [-daemons ADDRESSES] FILE\n\n" +
		"Applies the file atomically. If the document was changed concurrently, nothing is\napplied and the other change is printed.\n\n"
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	c.setDaemons(f)
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("apply: exactly one file is required")
	}
	content, err := operator.ReadDocument(c.document, f.Arg(0))
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c.warnUnmatched(ctx, content)
	return c.apply(ctx, content)
}

// warnUnmatched prints a warning for each selector that matches nothing. This is
// not an error, since matching VMs may be added later.
func (c *applyCommand) warnUnmatched(ctx context.Context, content []byte) {
	var declarations declarer.Declarations
	if c.document != declarer.DocumentDeclarations || json.Unmarshal(content, &declarations) != nil {
		return
	}
	list, err := watcher.New(dialer.System(), c.platform).VMs(ctx, 0, 0)
	if err != nil {
		return
	}
	for _, warning := range operator.UnmatchedSelectors(declarations, list.VMs) {
		fmt.Fprintln(os.Stderr, "warning:", warning)
	}
}

// apply applies content to the document and prints the new generation.
func (p *platformFlags) apply(ctx context.Context, content []byte) subcommands.ExitStatus {
	highestGeneration, err := p.highestGeneration(ctx)
	if err != nil {
		return fail(err)
	}
	head, err := operator.Apply(ctx, p.store(), p.document, content, highestGeneration, os.Stderr)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s generation %d applied, digest %s\n", p.document, head.Generation, head.Digest)
	return subcommands.ExitSuccess
}

type diffCommand struct{ platformFlags }

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show the changes that applying a file would make" }
func (*diffCommand) Usage() string {
	return "diff [-platform URL] [-document NAME] FILE\n\nExits with status 1 if the file differs from the applied document.\n\n"
}
func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("diff: exactly one file is required")
	}
	content, err := operator.ReadDocument(c.document, f.Arg(0))
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	current, err := c.store().Read(ctx, c.document)
	if err != nil {
		return fail(err)
	}
	changed := operator.Diff(current.Content, content)
	for _, line := range changed {
		fmt.Println(line)
	}
	if len(changed) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type getCommand struct {
	platformFlags
	head bool
}

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print the applied document" }
func (*getCommand) Usage() string {
	return "get [-platform URL] [-document NAME] [-head]\n\nPrints the document as JSON.\n\n"
}

func (c *getCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.BoolVar(&c.head, "head", false, "print generation, digest and writer instead of the content")
}

func (c *getCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	current, err := c.store().Read(ctx, c.document)
	if err != nil {
		return fail(err)
	}
	if current.Version == 0 {
		return fail(fmt.Errorf("no %s have been applied yet", c.document))
	}
	if c.head {
		return printJSON(current.Head)
	}
	fmt.Println(string(current.Content))
	return subcommands.ExitSuccess
}

func printJSON(v any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

type labelCommand struct {
	platformFlags
	service string
	vm      string
}

func (*labelCommand) Name() string     { return "label" }
func (*labelCommand) Synopsis() string { return "set labels of a VM or a service" }
func (*labelCommand) Usage() string {
	return "label [-platform URL] (-vm NAME | -service NAME) KEY=VALUE...\n\nKEY=- removes a label. The changed declarations are applied atomically.\n\n"
}

func (c *labelCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	c.setDaemons(f)
	f.StringVar(&c.service, "service", "", "`name` of the service to label")
	f.StringVar(&c.vm, "vm", "", "`name` of the VM to label")
}

func (c *labelCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, err := parseLabels(f.Args())
	if err != nil || (c.service == "") == (c.vm == "") {
		return usageError("label: either -vm or -service is required, and labels as KEY=VALUE")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	current, err := c.store().Read(ctx, declarer.DocumentDeclarations)
	if err != nil {
		return fail(err)
	}
	var declarations declarer.Declarations
	if err := declarer.Decode("declarations", current.Content, &declarations); err != nil {
		return fail(err)
	}
	if declarations, err = operator.SetLabels(declarations, c.service, c.vm, set); err != nil {
		return fail(err)
	}
	content, err := json.MarshalIndent(declarations, "", "  ")
	if err != nil {
		return fail(err)
	}
	return c.apply(ctx, content)
}

func parseLabels(args []string) (map[string]string, error) {
	set := map[string]string{}
	for _, arg := range args {
		key, value, ok := strings.Cut(arg, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("%q is not of the form KEY=VALUE", arg)
		}
		set[key] = value
	}
	if len(set) == 0 {
		return nil, fmt.Errorf("no labels given")
	}
	return set, nil
}
