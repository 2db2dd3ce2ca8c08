package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// watchTimeout is how long the platform may hold a long-poll read open.
	watchTimeout = 20 * time.Second
	// relayCheckInterval is how often a daemon that is not a relay checks whether it has become one.
	relayCheckInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed platform call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// fetchTimeout bounds fetching a document from a peer.
	fetchTimeout = 2 * time.Second
	// vmListInterval is the minimum time between reads of the VM list, so that a
	// burst of restarts is distributed as one change.
	vmListInterval = 2 * time.Second
)

// Run watches the platform whenever this daemon is one of its failure domain's
// relays. It returns when ctx is done.
func (r *Relayer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	watch := func(read func(ctx context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.watchWhileRelay(ctx, read)
		}()
	}
	for _, name := range []string{declarer.DocumentDeclarations, declarer.DocumentIndexes} {
		version := uint64(0)
		watch(func(ctx context.Context) error {
			var err error
			version, err = r.relayDocument(ctx, name, version)
			return err
		})
	}
	version := uint64(0)
	watch(func(ctx context.Context) error {
		var err error
		version, err = r.relayVMList(ctx, version)
		return err
	})
	wg.Wait()
	return nil
}

// watchWhileRelay repeats a long-poll read while this daemon is a relay, with
// jittered exponential backoff after failures. A missing object is not counted
// as a platform failure.
func (r *Relayer) watchWhileRelay(ctx context.Context, read func(ctx context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !r.config.IsRelay() {
			scheduler.Sleep(ctx, relayCheckInterval)
			continue
		}
		r.config.OnPlatformCall()
		err := read(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() == nil && !failer.Is(err, watcher.KindNotFound) {
			r.config.OnPlatformFailure()
		}
		scheduler.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// relayDocument waits for a head newer than the version after, fetches its content
// from the platform and offers it. It returns the version to continue from.
func (r *Relayer) relayDocument(ctx context.Context, name string, after uint64) (uint64, error) {
	object, err := r.config.Platform.Object(ctx, publisher.HeadName(name), after, watchTimeout)
	if err != nil {
		return 0, err
	}
	if object.Version == after {
		return after, nil
	}
	var head declarer.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		klog.ErrorS(err, "failed to decode document head", "document", name)
		return object.Version, nil
	}
	if r.registry.CompareHead(name, head.Generation, head.Digest) != configurator.Newer {
		return object.Version, nil
	}
	content, err := r.config.Platform.Object(ctx, publisher.ContentName(name, head.Digest), 0, 0)
	if err != nil {
		return after, err
	}
	verdict := r.offer(configurator.Document{Name: name, Generation: head.Generation, Digest: head.Digest, Content: content.Value})
	if verdict == configurator.Corrupt {
		klog.InfoS("invalid document rejected", "document", name, "generation", head.Generation)
	}
	return object.Version, nil
}

// relayVMList waits for a VM list newer than the version after and offers it. It
// returns the version to continue from.
func (r *Relayer) relayVMList(ctx context.Context, after uint64) (uint64, error) {
	list, err := r.config.Platform.VMs(ctx, after, watchTimeout)
	if err != nil {
		return 0, err
	}
	if list.Version == after {
		return after, nil
	}
	content, err := json.Marshal(list)
	if err != nil {
		return after, err
	}
	r.offer(configurator.Document{
		Name:       declarer.DocumentVMs,
		Generation: list.Version,
		Digest:     configurator.Digest(content),
		Content:    content,
	})
	scheduler.Sleep(ctx, vmListInterval)
	return list.Version, nil
}

// fetch fetches a document from a peer and offers it.
func (r *Relayer) fetch(from, name string) {
	defer r.endFetch(name)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	reply, err := r.config.Peer(ctx, from).Fetch(ctx, &messenger.FetchRequest{Document: name})
	if err != nil {
		klog.InfoS("failed to fetch document from peer", "document", name, "peer", from, "cause", err.Error())
		return
	}
	r.config.OnFetched(len(reply.GetContent()))
	content, err := packer.Decompress(reply.GetContent())
	if err != nil {
		klog.ErrorS(err, "failed to decompress document from peer", "document", name, "peer", from)
		return
	}
	r.offer(configurator.Document{
		Name:       name,
		Generation: reply.GetGeneration(),
		Digest:     reply.GetDigest(),
		Content:    content,
	})
}

// validateDocument returns an error if a document's content is invalid, so that it
// does not become current.
func validateDocument(document configurator.Document) error {
	var err error
	switch document.Name {
	case declarer.DocumentDeclarations:
		_, err = declarer.ParseDeclarations(document.Name, document.Content)
	case declarer.DocumentIndexes:
		_, err = declarer.ParseIndexes(document.Name, document.Content)
	default:
		err = json.Unmarshal(document.Content, &declarer.VMList{})
	}
	return err
}

// rebuildView builds a new view from the current documents, all of which have
// been validated, and reports the changed one through Config.OnChanged.
func (r *Relayer) rebuildView(changed string) {
	r.mu.Lock()
	// Each document is read once, so that its generation is that of the content in
	// the view: an offer may replace it at any moment.
	documents := map[string]configurator.Document{}
	for _, name := range documentNames {
		documents[name] = r.registry.InForce(name)
	}
	var list declarer.VMList
	var declarations declarer.Declarations
	var indexes declarer.Indexes
	r.decode(documents[declarer.DocumentVMs], &list)
	r.decode(documents[declarer.DocumentDeclarations], &declarations)
	r.decode(documents[declarer.DocumentIndexes], &indexes)
	r.view.Store(planner.New().WithDeclarations(declarations).WithIndexes(indexes).WithVMs(list.VMs))
	r.mu.Unlock()
	r.config.OnChanged(changed, entryMembers(list.VMs))
	// The generations count as applied only after OnChanged has returned: before
	// that there are no routes for the new view, and a daemon that reported itself
	// ready would refuse its first callers.
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, document := range documents {
		r.appliedGenerations[name] = max(r.appliedGenerations[name], document.Generation)
	}
}

// decode decodes a current document; it leaves into unchanged if the document has
// not been received yet.
func (r *Relayer) decode(document configurator.Document, into any) {
	if len(document.Content) == 0 {
		return
	}
	if err := r.decodeDocument(document.Name, document.Content, into); err != nil {
		klog.ErrorS(err, "failed to decode current document", "document", document.Name)
	}
}

// entryMembers returns the live entry VMs of the VM list, used as seeds of the
// membership protocol.
func entryMembers(vms []declarer.VM) []*messenger.Member {
	var out []*messenger.Member
	for _, vm := range vms {
		if vm.Labels[declarer.RoleLabel] == declarer.RoleEntry && vm.State == declarer.VMLive {
			out = append(out, &messenger.Member{Address: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region})
		}
	}
	return out
}
