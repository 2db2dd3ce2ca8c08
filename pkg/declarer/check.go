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

// require records the error that format and args describe unless ok is true.
func (v *validator) require(ok bool, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

// requireSelector requires that text is a valid label selector.
func (v *validator) requireSelector(path, text string) {
	_, err := labels.Parse(text)
	v.require(err == nil, "%s: selector %q: %v", path, text, err)
}

// requireUniqueName requires that name is neither empty nor in seen, and adds it to seen.
func (v *validator) requireUniqueName(seen map[string]bool, path, name string) {
	v.require(name != "", "%s: name is missing", path)
	v.require(!seen[name], "%s: name %q is used twice", path, name)
	seen[name] = true
}

// Validate validates the declarations and returns all errors, joined.
func (d Declarations) Validate() error {
	v := &validator{}
	v.validateServices(d.Services)
	v.validateTrafficRules(d.TrafficRules)
	v.validateClasses(d.Classes)
	return errors.Join(v.errs...)
}

func (v *validator) validateServices(services []Service) {
	seen := map[string]bool{}
	v.require(len(services) > 0, "services: at least one is required")
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.requireUniqueName(seen, path, s.Name)
		v.require(s.Selector != "", "%s: selector is missing; an empty selector would match every VM", path)
		v.requireSelector(path, s.Selector)
		v.require(s.ConnectionLimit > 0, "%s: connectionLimit must be above 0", path)
		v.require(s.Slots > 0, "%s: slots must be above 0", path)
	}
}

func (v *validator) validateTrafficRules(rules []TrafficRule) {
	seen := map[string]bool{}
	for i, r := range rules {
		path := fmt.Sprintf("trafficRules[%d]", i)
		v.requireUniqueName(seen, path, r.Name)
		v.requireSelector(path, r.Selector)
		switch r.Locality {
		case LocalityFailureDomain, LocalityRegion, LocalityAny:
		default:
			v.require(false, "%s: locality %q must be failureDomain, region or any", path, r.Locality)
		}
		v.require(r.Hedge.Quantile >= 0 && r.Hedge.Quantile < 1, "%s: hedge.quantile must be in [0, 1)", path)
		v.require(r.Hedge.Budget >= 0 && r.Hedge.Budget <= 1, "%s: hedge.budget must be in [0, 1]", path)
	}
}

func (v *validator) validateClasses(classes []Class) {
	seen := map[string]bool{}
	v.require(len(classes) > 0, "classes: at least one is required")
	for i, c := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		v.requireUniqueName(seen, path, c.Name)
		deadline := time.Duration(c.Deadline)
		v.require(deadline > 0 && deadline <= maxDeadline, "%s: deadline must be above 0 and at most %v", path, maxDeadline)
		v.require(c.TargetCoverage >= 0 && c.TargetCoverage <= 1, "%s: wantedCoverage must be in [0, 1]", path)
		v.require(c.Completion == CompletionOnCoverage || c.Completion == CompletionOnAllShards, "%s: answer %q must be quickThin or lateFull", path, c.Completion)
		v.require(!c.Idempotent || c.Tickets == "", "%s: tickets must be empty for an idempotent class", path)
		v.require(c.Idempotent || c.Tickets == TicketsRequired || c.Tickets == TicketsOptional, "%s: tickets %q must be required or optional", path, c.Tickets)
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
			v.requireUniqueName(seen, shardPath, shard.Name)
			v.requireSelector(shardPath, shard.Selector)
		}
	}
	return errors.Join(v.errs...)
}
