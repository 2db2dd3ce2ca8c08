package declarer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tailscale/hujson"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// maxDeadline is the longest deadline that a class may declare.
const maxDeadline = time.Minute

// Decode reads JSON with comments strictly into v; file names the source in errors.
func Decode(file string, data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return failer.Wrap("read "+file, KindSyntax, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return failer.New("read "+file, KindSyntax, "%s: %v", place(standard, decoder.InputOffset(), err), err)
	}
	if decoder.More() {
		return failer.New("read "+file, KindSyntax, "%s: data after the end", place(standard, decoder.InputOffset(), nil))
	}
	return nil
}

// place returns the line and column of an offset; hujson keeps offsets as they were.
func place(data []byte, offset int64, err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	}
	offset = min(offset, int64(len(data)))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	column := offset - int64(bytes.LastIndexByte(data[:offset], '\n'))
	return fmt.Sprintf("line %d, column %d", line, column)
}

// ParseDeclarations reads and checks declarations.
func ParseDeclarations(file string, data []byte) (Declarations, error) {
	var d Declarations
	if err := Decode(file, data, &d); err != nil {
		return Declarations{}, err
	}
	if err := d.Validate(); err != nil {
		return Declarations{}, failer.Wrap("check "+file, KindInvalid, err)
	}
	return d, nil
}

// ParseIndexes reads and checks a set of snapshots.
func ParseIndexes(file string, data []byte) (Indexes, error) {
	var x Indexes
	if err := Decode(file, data, &x); err != nil {
		return Indexes{}, err
	}
	if err := x.Validate(); err != nil {
		return Indexes{}, failer.Wrap("check "+file, KindInvalid, err)
	}
	return x, nil
}

// checker collects the faults of one set of objects.
type checker struct {
	faults []error
}

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, fmt.Errorf(format, args...))
	}
}

func (c *checker) selector(where, text string) {
	_, err := labels.Parse(text)
	c.require(err == nil, "%s: selector %q: %v", where, text, err)
}

func (c *checker) unique(seen map[string]bool, where, name string) {
	c.require(name != "", "%s: name is missing", where)
	c.require(!seen[name], "%s: name %q is used twice", where, name)
	seen[name] = true
}

// Validate returns every fault of the declarations, joined.
func (d Declarations) Validate() error {
	c := &checker{}
	c.services(d.Services)
	c.rules(d.TrafficRules)
	c.classes(d.Classes)
	return errors.Join(c.faults...)
}

func (c *checker) services(services []Service) {
	seen := map[string]bool{}
	c.require(len(services) > 0, "services: at least one is needed")
	for i, s := range services {
		where := fmt.Sprintf("services[%d]", i)
		c.unique(seen, where, s.Name)
		c.require(s.Selector != "", "%s: selector is missing; it would pick every VM", where)
		c.selector(where, s.Selector)
		c.require(s.ConnectionLimit > 0, "%s: connectionLimit must be above 0", where)
		c.require(s.Slots > 0, "%s: slots must be above 0", where)
	}
}

func (c *checker) rules(rules []TrafficRule) {
	seen := map[string]bool{}
	for i, r := range rules {
		where := fmt.Sprintf("trafficRules[%d]", i)
		c.unique(seen, where, r.Name)
		c.selector(where, r.Selector)
		switch r.Locality {
		case LocalityFailureDomain, LocalityRegion, LocalityAny:
		default:
			c.require(false, "%s: locality %q is none of failureDomain, region, any", where, r.Locality)
		}
		c.require(r.Hedge.Quantile >= 0 && r.Hedge.Quantile < 1, "%s: hedge.quantile must be in [0, 1)", where)
		c.require(r.Hedge.Budget >= 0 && r.Hedge.Budget <= 1, "%s: hedge.budget must be in [0, 1]", where)
	}
}

func (c *checker) classes(classes []Class) {
	seen := map[string]bool{}
	c.require(len(classes) > 0, "classes: at least one is needed")
	for i, k := range classes {
		where := fmt.Sprintf("classes[%d]", i)
		c.unique(seen, where, k.Name)
		deadline := time.Duration(k.Deadline)
		c.require(deadline > 0 && deadline <= maxDeadline, "%s: deadline must be above 0 and at most %v", where, maxDeadline)
		c.require(k.TargetCoverage >= 0 && k.TargetCoverage <= 1, "%s: wantedCoverage must be in [0, 1]", where)
		c.require(k.Completion == CompletionOnCoverage || k.Completion == CompletionOnAllShards, "%s: answer %q is none of quickThin, lateFull", where, k.Completion)
		c.require(!k.Idempotent || k.Tickets == "", "%s: tickets are for classes that are not idempotent", where)
		c.require(k.Idempotent || k.Tickets == TicketsRequired || k.Tickets == TicketsOptional, "%s: tickets %q is none of required, optional", where, k.Tickets)
	}
}

// Validate returns every fault of the snapshots, joined.
func (x Indexes) Validate() error {
	c := &checker{}
	for service, snapshot := range x.Services {
		where := "services." + service
		c.require(snapshot.Name != "", "%s: the snapshot has no name", where)
		c.require(len(snapshot.Shards) > 0, "%s: the snapshot has no shards", where)
		seen := map[string]bool{}
		for i, shard := range snapshot.Shards {
			at := fmt.Sprintf("%s.shards[%d]", where, i)
			c.unique(seen, at, shard.Name)
			c.selector(at, shard.Selector)
		}
	}
	return errors.Join(c.faults...)
}
