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

// Decode decodes JSON with comments into v and rejects unknown fields. Errors
// name the source as file.
func Decode(file string, data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return failer.Wrap("read "+file, KindSyntax, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return failer.New("read "+file, KindSyntax, "%s: %v", position(standard, decoder.InputOffset(), err), err)
	}
	if decoder.More() {
		return failer.New("read "+file, KindSyntax, "%s: data after the top-level value", position(standard, decoder.InputOffset(), nil))
	}
	return nil
}

// position formats the line and column of the byte at offset, or of the place
// that err names. hujson.Standardize preserves offsets, so that positions in its
// output are also positions in the file.
func position(data []byte, offset int64, err error) string {
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

// ParseDeclarations decodes and validates declarations.
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

// ParseIndexes decodes and validates a set of snapshots.
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

// validator collects the validation errors of one document.
type validator struct {
	errs []error
}

func (v *validator) require(ok bool, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

func (v *validator) selector(path, text string) {
	_, err := labels.Parse(text)
	v.require(err == nil, "%s: selector %q: %v", path, text, err)
}

func (v *validator) unique(seen map[string]bool, path, name string) {
	v.require(name != "", "%s: name is missing", path)
	v.require(!seen[name], "%s: name %q is used twice", path, name)
	seen[name] = true
}

// Validate validates the declarations and returns all errors, joined.
func (d Declarations) Validate() error {
	v := &validator{}
	v.services(d.Services)
	v.rules(d.TrafficRules)
	v.classes(d.Classes)
	return errors.Join(v.errs...)
}

func (v *validator) services(services []Service) {
	seen := map[string]bool{}
	v.require(len(services) > 0, "services: at least one is required")
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.unique(seen, path, s.Name)
		v.require(s.Selector != "", "%s: selector is missing; an empty selector would match every VM", path)
		v.selector(path, s.Selector)
		v.require(s.ConnectionLimit > 0, "%s: connectionLimit must be above 0", path)
		v.require(s.Slots > 0, "%s: slots must be above 0", path)
	}
}

func (v *validator) rules(rules []TrafficRule) {
	seen := map[string]bool{}
	for i, r := range rules {
		path := fmt.Sprintf("trafficRules[%d]", i)
		v.unique(seen, path, r.Name)
		v.selector(path, r.Selector)
		switch r.Locality {
		case LocalityFailureDomain, LocalityRegion, LocalityAny:
		default:
			v.require(false, "%s: locality %q must be failureDomain, region or any", path, r.Locality)
		}
		v.require(r.Hedge.Quantile >= 0 && r.Hedge.Quantile < 1, "%s: hedge.quantile must be in [0, 1)", path)
		v.require(r.Hedge.Budget >= 0 && r.Hedge.Budget <= 1, "%s: hedge.budget must be in [0, 1]", path)
	}
}

func (v *validator) classes(classes []Class) {
	seen := map[string]bool{}
	v.require(len(classes) > 0, "classes: at least one is required")
	for i, k := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		v.unique(seen, path, k.Name)
		deadline := time.Duration(k.Deadline)
		v.require(deadline > 0 && deadline <= maxDeadline, "%s: deadline must be above 0 and at most %v", path, maxDeadline)
		v.require(k.TargetCoverage >= 0 && k.TargetCoverage <= 1, "%s: wantedCoverage must be in [0, 1]", path)
		v.require(k.Completion == CompletionOnCoverage || k.Completion == CompletionOnAllShards, "%s: answer %q must be quickThin or lateFull", path, k.Completion)
		v.require(!k.Idempotent || k.Tickets == "", "%s: tickets must be empty for an idempotent class", path)
		v.require(k.Idempotent || k.Tickets == TicketsRequired || k.Tickets == TicketsOptional, "%s: tickets %q must be required or optional", path, k.Tickets)
	}
}

// Validate validates the snapshots and returns all errors, joined.
func (x Indexes) Validate() error {
	v := &validator{}
	for service, snapshot := range x.Services {
		path := "services." + service
		v.require(snapshot.Name != "", "%s: the snapshot has no name", path)
		v.require(len(snapshot.Shards) > 0, "%s: the snapshot has no shards", path)
		seen := map[string]bool{}
		for i, shard := range snapshot.Shards {
			shardPath := fmt.Sprintf("%s.shards[%d]", path, i)
			v.unique(seen, shardPath, shard.Name)
			v.selector(shardPath, shard.Selector)
		}
	}
	return errors.Join(v.errs...)
}
