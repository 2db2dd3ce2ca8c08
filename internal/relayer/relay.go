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
	// watchWait is how long the platform holds a read open.
	watchWait = 20 * time.Second
	// relayRecheck is how often a daemon that is no relay looks whether it has become one.
	relayRecheck = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a platform failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// fetchTimeout bounds fetching a document from a peer.
	fetchTimeout = 2 * time.Second
	// vmListInterval spaces readings of the VM list, so that a burst of restarts spreads as one.
	vmListInterval = 2 * time.Second
)

// Run watches the platform while this daemon is one of its domain's relays.
func (r *Relayer) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	watch := func(read func(ctx context.Context) error) {
		wait.Add(1)
		go func() {
			defer wait.Done()
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
		version, err = r.relayVMs(ctx, version)
		return err
	})
	wait.Wait()
	return nil
}

// watchWhileRelay repeats a waiting read, with a growing wait after failures.
func (r *Relayer) watchWhileRelay(ctx context.Context, read func(ctx context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !r.config.IsRelay() {
			scheduler.Sleep(ctx, relayRecheck)
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

// relayDocument waits for a head above a version and takes its content.
func (r *Relayer) relayDocument(ctx context.Context, name string, after uint64) (uint64, error) {
	object, err := r.config.Platform.Object(ctx, publisher.HeadName(name), after, watchWait)
	if err != nil {
		return 0, err
	}
	if object.Version == after {
		return after, nil
	}
	var head declarer.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		klog.ErrorS(err, "head is unreadable", "document", name)
		return object.Version, nil
	}
	if r.register.CompareHead(name, head.Generation, head.Digest) != configurator.Newer {
		return object.Version, nil
	}
	content, err := r.config.Platform.Object(ctx, publisher.ContentName(name, head.Digest), 0, 0)
	if err != nil {
		return after, err
	}
	verdict := r.take(configurator.Document{Name: name, Generation: head.Generation, Digest: head.Digest, Content: content.Value})
	if verdict == configurator.Corrupt {
		klog.InfoS("document rejected", "document", name, "generation", head.Generation)
	}
	return object.Version, nil
}

// relayVMs waits for a VM list above a version and takes it.
func (r *Relayer) relayVMs(ctx context.Context, after uint64) (uint64, error) {
	list, err := r.config.Platform.VMs(ctx, after, watchWait)
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
	r.take(configurator.Document{
		Name:       declarer.DocumentVMs,
		Generation: list.Version,
		Digest:     configurator.Digest(content),
		Content:    content,
	})
	scheduler.Sleep(ctx, vmListInterval)
	return list.Version, nil
}

// fetch gets a document from a peer.
func (r *Relayer) fetch(from, name string) {
	defer r.endFetch(name)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	reply, err := r.config.Peer(ctx, from).Fetch(ctx, &messenger.FetchRequest{Document: name})
	if err != nil {
		klog.InfoS("peer gave no document", "document", name, "peer", from, "cause", err.Error())
		return
	}
	r.config.OnFetched(len(reply.GetContent()))
	content, err := packer.Decompress(reply.GetContent())
	if err != nil {
		klog.ErrorS(err, "document from a peer is unreadable", "document", name, "peer", from)
		return
	}
	r.take(configurator.Document{
		Name:       name,
		Generation: reply.GetGeneration(),
		Digest:     reply.GetDigest(),
		Content:    content,
	})
}

// checkDocument rejects content that must not come into force.
func checkDocument(document configurator.Document) error {
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

// apply makes a new view of the documents in force, of which one has changed.
// All of them were checked.
func (r *Relayer) apply(changed string) {
	r.mu.Lock()
	var list declarer.VMList
	var declarations declarer.Declarations
	var indexes declarer.Indexes
	r.decode(declarer.DocumentVMs, &list)
	r.decode(declarer.DocumentDeclarations, &declarations)
	r.decode(declarer.DocumentIndexes, &indexes)
	generations := map[string]uint64{}
	for _, name := range documents {
		generations[name] = r.register.InForce(name).Generation
	}
	r.view.Store(planner.New().WithDeclarations(declarations).WithIndexes(indexes).WithVMs(list.VMs))
	r.mu.Unlock()
	r.config.OnChanged(changed, entryMembers(list.VMs))
	// Only now are there routes for what the view names, so that callers may come.
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, generation := range generations {
		r.applied[name] = max(r.applied[name], generation)
	}
}

func (r *Relayer) decode(name string, into any) {
	content := r.register.InForce(name).Content
	if len(content) == 0 {
		return
	}
	if err := declarer.Decode(name, content, into); err != nil {
		klog.ErrorS(err, "document in force is unreadable", "document", name)
	}
}

// entryMembers returns the daemons on the VM list as seeds of the membership.
func entryMembers(vms []declarer.VM) []*messenger.Member {
	var out []*messenger.Member
	for _, vm := range vms {
		if vm.Labels[declarer.RoleLabel] == declarer.RoleEntry && vm.State == declarer.VMLive {
			out = append(out, &messenger.Member{Address: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region})
		}
	}
	return out
}
