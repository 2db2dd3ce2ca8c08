package soaker

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/merger"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// callerWait is how long a caller waits.
const callerWait = 1500 * time.Millisecond

// claim takes a process for one trouble of the kind that ends or stops it.
func (p *process) claim() bool { return p.claimed.CompareAndSwap(false, true) }

func (p *process) release() { p.claimed.Store(false) }

var requestNumber atomic.Uint64

func (s *Soak) nextID() string {
	return fmt.Sprintf("%04x%012x", s.config.Seed&0xffff, requestNumber.Add(1))
}

// call asks one process after the other until the context ends.
func (s *Soak) call(ctx context.Context, caller int) {
	paths := []string{stager.ScatterGatherPath, stager.AtMostOncePath, stager.SinglePath}
	for n := caller; ctx.Err() == nil; n++ {
		path := paths[n%len(paths)]
		s.ask(ctx, s.processes[n%len(s.processes)], path)
		select {
		case <-ctx.Done():
		case <-time.After(pace):
		}
	}
}

func (s *Soak) ask(ctx context.Context, p *process, path string) {
	s.mu.Lock()
	daemon := p.TierDaemon
	s.mu.Unlock()
	id, method := s.nextID(), http.MethodGet
	if path == stager.AtMostOncePath {
		method = http.MethodPost
	}
	waiting, cancel := context.WithTimeout(ctx, callerWait)
	reply, err := s.tier.Send(waiting, daemon, method, path+"x", id, callerWait, nil)
	cancel()
	if ctx.Err() != nil {
		return
	}
	s.count(id, path, reply, err)
	if err != nil {
		return
	}
	switch {
	case reply.Status == http.StatusOK && path == stager.ScatterGatherPath:
		s.checkGather(id, reply)
	case reply.Status == http.StatusOK:
		s.checkSingle(id, reply)
	case reply.Status == http.StatusNotFound:
		s.broken("%s: a route that every configuration has was not found", id)
	}
}

func (s *Soak) count(id, path string, reply stager.Reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Asked++
	switch {
	case err != nil:
		s.report.Failed++
	case reply.Status == http.StatusOK:
		s.report.Answered++
	case reply.Status == http.StatusServiceUnavailable:
		s.report.Refused++
	default:
		s.report.Failed++
	}
	if path == stager.AtMostOncePath {
		s.once[id] = reply.Status
	}
}

// checkGather requires a true account of the shards and their greatest records.
func (s *Soak) checkGather(id string, reply stager.Reply) {
	coverage := platform.ParseCoverage(reply.Header)
	shards := s.tier.Config.Shards
	if len(coverage.Stamps)+coverage.Missing != shards || len(coverage.Stamps)*4 < shards*3 {
		s.broken("%s: %d signatures and %d missing of %d shards", id, len(coverage.Stamps), coverage.Missing, shards)
	}
	byStamp := map[string]*emulator.Backend{}
	for _, b := range s.tier.Backends {
		byStamp[b.Stamp(id)] = b
	}
	var parts [][]byte
	seen := map[string]bool{}
	for _, stamp := range coverage.Stamps {
		b, ok := byStamp[stamp]
		if !ok || seen[b.Server.Service] {
			s.broken("%s: the signature %q is of another request or twice there", id, stamp)
			return
		}
		seen[b.Server.Service] = true
		parts = append(parts, b.Body(id))
	}
	if !bytes.Equal(reply.Body, merger.Top(parts, stager.TopK)) {
		s.broken("%s: the body is not the greatest records of the parts", id)
	}
}

func (s *Soak) checkSingle(id string, reply stager.Reply) {
	for _, b := range s.tier.Backends {
		if bytes.Equal(reply.Body, b.Body(id)) && platform.ServerStamp(reply.Header) == b.Stamp(id) {
			return
		}
	}
	s.broken("%s: the answer is of no searcher", id)
}

// checkOnce requires that nothing ran twice and that what was refused never ran.
func (s *Soak) checkOnce() {
	time.Sleep(callerWait)
	runs := map[string]int{}
	for _, b := range s.tier.Backends {
		for id, n := range b.Stats().Runs {
			runs[id] += n
		}
	}
	for id, status := range s.once {
		if runs[id] > 1 {
			s.broken("%s ran %d times", id, runs[id])
		}
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			s.broken("%s was refused with %d and ran", id, status)
		}
	}
}
