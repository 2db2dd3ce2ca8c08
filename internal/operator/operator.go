// Package operator implements the administration commands check, apply, diff, label
// and status.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/daemon"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/validator"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable        Kind = "unreadable"
	KindInvalid           Kind = "invalid"
	KindDaemonUnavailable Kind = "daemonAway"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// statusTimeout limits the status request to one daemon.
const statusTimeout = 3 * time.Second

// statusClient sends status requests to daemons.
var statusClient = &http.Client{Timeout: statusTimeout}

// ReadDocument reads and validates a file of declarations or indexes, and returns
// it as indented JSON without comments.
func ReadDocument(document, file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, failer.Wrap("read "+file, KindUnreadable, err)
	}
	var parsed any
	switch document {
	case declarer.DocumentDeclarations:
		parsed, err = declarer.ParseDeclarations(file, data)
	case declarer.DocumentIndexes:
		parsed, err = declarer.ParseIndexes(file, data)
	default:
		err = failer.New("read "+file, KindInvalid, "document %q must be declarations or indexes", document)
	}
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(parsed, "", "  ")
}

// UnmatchedSelectors returns a warning for each selector of a service that matches
// no VM of the list, and for each selector of a traffic rule that matches no
// service.
func UnmatchedSelectors(d declarer.Declarations, vms []declarer.VM) []string {
	var out []string
	for _, s := range d.Services {
		selector, err := labels.Parse(s.Selector)
		if err != nil || !matchesAny(selector, d, vms) {
			out = append(out, fmt.Sprintf("service %q: selector %q matches no backend server", s.Name, s.Selector))
		}
	}
	for _, r := range d.TrafficRules {
		selector, err := labels.Parse(r.Selector)
		matches := func(s declarer.Service) bool { return selector.Matches(labels.Set(s.Labels)) }
		if err != nil || !slices.ContainsFunc(d.Services, matches) {
			out = append(out, fmt.Sprintf("traffic rule %q: selector %q matches no service", r.Name, r.Selector))
		}
	}
	return out
}

// matchesAny reports whether the selector matches any VM, with the labels that the
// declarations add.
func matchesAny(selector labels.Selector, d declarer.Declarations, vms []declarer.VM) bool {
	return slices.ContainsFunc(vms, func(vm declarer.VM) bool {
		return selector.Matches(labels.Set(vm.WithLabels(d.VMLabels[vm.Name]).Labels))
	})
}

// Diff returns the lines that differ between two documents. Removed lines are
// prefixed with a minus sign, added lines with a plus sign.
func Diff(before, after []byte) []string {
	a, b := indentedLines(before), indentedLines(after)
	common := longestCommonSubsequence(a, b)
	var out []string
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(common) > 0 && len(a) > 0 && len(b) > 0 && a[0] == common[0] && b[0] == common[0]:
			a, b, common = a[1:], b[1:], common[1:]
		case len(a) > 0 && (len(common) == 0 || a[0] != common[0]):
			out = append(out, "-"+a[0])
			a = a[1:]
		default:
			out = append(out, "+"+b[0])
			b = b[1:]
		}
	}
	return out
}

// indentedLines returns the lines of a JSON document after uniform indentation. A
// document that is not valid JSON is split as it is.
func indentedLines(document []byte) []string {
	var indented bytes.Buffer
	if json.Indent(&indented, document, "", "  ") != nil {
		return strings.Split(string(document), "\n")
	}
	return strings.Split(indented.String(), "\n")
}

// longestCommonSubsequence returns the longest common subsequence of two lists of
// lines.
func longestCommonSubsequence(a, b []string) []string {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	var out []string
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch {
		case a[i] == b[j]:
			out = append(out, a[i])
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			i++
		default:
			j++
		}
	}
	return out
}

// Status requests the status of daemons at their operator addresses. On an error
// it returns the statuses received before.
func Status(ctx context.Context, addresses []string) ([]daemon.Status, error) {
	var out []daemon.Status
	for _, address := range addresses {
		var status daemon.Status
		request, err := sling.New().Get("http://" + address + "/status").Request()
		if err != nil {
			return out, failer.Wrap("request status of "+address, KindInvalid, err)
		}
		response, err := statusClient.Do(request.WithContext(ctx))
		if err != nil {
			return out, failer.Wrap("request status of "+address, KindDaemonUnavailable, err)
		}
		if err = validator.Reply(response); err == nil {
			err = json.NewDecoder(response.Body).Decode(&status)
		}
		_ = response.Body.Close()
		if err != nil {
			return out, failer.Wrap("request status of "+address, KindDaemonUnavailable, err)
		}
		out = append(out, status)
	}
	return out, nil
}

// HighestGeneration returns the highest generation of the document that any of the
// daemons has in force.
func HighestGeneration(statuses []daemon.Status, document string) uint64 {
	var highest uint64
	for _, s := range statuses {
		highest = max(highest, s.Documents[document].Generation)
	}
	return highest
}

// Apply makes content, which must be valid, the next generation of the document.
// On a conflict it writes the difference made by the other change to out.
func Apply(ctx context.Context, store publisher.Store, document string, content []byte, minGeneration uint64, out io.Writer) (declarer.Head, error) {
	base, err := store.Read(ctx, document)
	if err != nil {
		return declarer.Head{}, err
	}
	head, err := store.Apply(ctx, document, base, content, minGeneration)
	if failer.Is(err, publisher.KindConflict) {
		writeConflict(ctx, store, document, base, out)
	}
	return head, err
}

// writeConflict writes the difference between base and the current document to out.
func writeConflict(ctx context.Context, store publisher.Store, document string, base publisher.DocumentState, out io.Writer) {
	current, err := store.Read(ctx, document)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(out, "conflicting change, generation %d:\n", current.Head.Generation)
	for _, line := range Diff(base.Content, current.Content) {
		_, _ = fmt.Fprintln(out, line)
	}
}

// SetLabels sets labels of a service or a VM in the declarations; the value "-"
// removes a label. Exactly one of service and vm must be given. SetLabels may
// modify d.
func SetLabels(d declarer.Declarations, service, vm string, set map[string]string) (declarer.Declarations, error) {
	if vm != "" {
		if d.VMLabels == nil {
			d.VMLabels = map[string]map[string]string{}
		}
		d.VMLabels[vm] = mergeLabels(d.VMLabels[vm], set)
		return d, nil
	}
	for i, s := range d.Services {
		if s.Name == service {
			d.Services[i].Labels = mergeLabels(s.Labels, set)
			return d, nil
		}
	}
	return d, failer.New("label", KindInvalid, "service %q is not declared", service)
}

// mergeLabels returns old with the labels of set added, and those whose value is
// "-" removed.
func mergeLabels(old, set map[string]string) map[string]string {
	out := map[string]string{}
	for key, value := range old {
		out[key] = value
	}
	for key, value := range set {
		if value == "-" {
			delete(out, key)
			continue
		}
		out[key] = value
	}
	return out
}
