// Package publisher writes documents to the platform: first the content, then a
// conditional update of the head. If the reply to the update is lost, its outcome
// is determined by repeating the update and reading the head.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindConflict means that another writer changed the document first; nothing
	// was applied.
	KindConflict Kind = "conflict"
	// KindUnknown means that it could not be determined whether the change was
	// applied.
	KindUnknown Kind = "unknown"
	// KindPlatformUnavailable means that the platform did not answer or returned an
	// invalid document; nothing was applied.
	KindPlatformUnavailable Kind = "platformAway"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// maxHeadAttempts limits the conditional updates of the head, including those
	// that determine the outcome of an update whose reply was lost.
	maxHeadAttempts = 20
	// headRetryDelay is the delay between these updates.
	headRetryDelay = 200 * time.Millisecond
	// maxPreviousWriters is the number of previous writers that a head lists.
	maxPreviousWriters = 16
	// op is the operation named in errors.
	op = "apply document"
)

// HeadName returns the name of a document's head object.
func HeadName(document string) string { return document + "/head" }

// ContentName returns the name of an immutable content object.
func ContentName(document, digest string) string { return document + "/content/" + digest }

// Store contains the operations of the platform's Object API that a publisher
// uses.
type Store struct {
	Object func(ctx context.Context, name string, after uint64, wait time.Duration) (declarer.Object, error)
	Put    func(ctx context.Context, name string, expected uint64, value []byte) (uint64, error)
}

// NewStore returns a store that uses a platform client.
func NewStore(c *watcher.Client) Store {
	return Store{Object: c.Object, Put: c.Put}
}

// DocumentState is the state of a document on the platform.
type DocumentState struct {
	Head declarer.Head
	// Version is the version of the head object; zero if it does not exist.
	Version uint64
	Content []byte
}

// Read returns the state of a document on the platform. A document that was never
// applied yields the zero DocumentState.
func (s Store) Read(ctx context.Context, document string) (DocumentState, error) {
	object, err := s.Object(ctx, HeadName(document), 0, 0)
	if failer.Is(err, watcher.KindNotFound) {
		return DocumentState{}, nil
	}
	if err != nil {
		return DocumentState{}, failer.Wrap("read head", KindPlatformUnavailable, err)
	}
	current := DocumentState{Version: object.Version}
	if err := json.Unmarshal(object.Value, &current.Head); err != nil {
		return DocumentState{}, failer.Wrap("read head", KindPlatformUnavailable, err)
	}
	content, err := s.Object(ctx, ContentName(document, current.Head.Digest), 0, 0)
	if err != nil {
		return DocumentState{}, failer.Wrap("read content", KindPlatformUnavailable, err)
	}
	current.Content = content.Value
	return current, nil
}

// Apply makes content the next generation of the document if its head has not
// changed since base was read. The new generation is above that of base and above
// minGeneration, the highest generation that any daemon has in force, so that a
// generation already used is not reused after the store was restored from a backup.
func (s Store) Apply(ctx context.Context, document string, base DocumentState, content []byte, minGeneration uint64) (declarer.Head, error) {
	digest := configurator.Digest(content)
	head := declarer.Head{
		Generation: max(base.Head.Generation, minGeneration) + 1,
		Digest:     digest,
		Writer:     rand.Text(),
	}
	head.PreviousWriters = append([]string{base.Head.Writer}, base.Head.PreviousWriters...)
	head.PreviousWriters = head.PreviousWriters[:min(len(head.PreviousWriters), maxPreviousWriters)]
	if err := s.putContent(ctx, document, digest, content); err != nil {
		return head, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return head, failer.Wrap("encode head", KindPlatformUnavailable, err)
	}
	return head, s.putHead(ctx, document, base, head, value)
}

// putHead updates the head conditionally and repeats the update until its outcome
// is known. Repeating is safe: an update that was lost or is still in flight cannot
// take effect once one of the repeats or another writer's update has, since all
// of them expect the version of base.
func (s Store) putHead(ctx context.Context, document string, base DocumentState, head declarer.Head, value []byte) error {
	for range maxHeadAttempts {
		_, err := s.Put(ctx, HeadName(document), base.Version, value)
		if err == nil {
			return nil
		}
		if failer.Is(err, watcher.KindConflict) {
			resolved, err := s.resolveConflict(ctx, document, base, head)
			if resolved {
				return err
			}
		}
		select {
		case <-time.After(headRetryDelay):
		case <-ctx.Done():
		}
	}
	return failer.New(op, KindUnknown, "could not determine whether generation %d was applied; run get -head and look for writer %s", head.Generation, head.Writer)
}

// resolveConflict reads the head after a conflict, which may be with an earlier
// attempt of the same update, and reports whether the outcome is known.
func (s Store) resolveConflict(ctx context.Context, document string, base DocumentState, written declarer.Head) (resolved bool, err error) {
	object, err := s.Object(ctx, HeadName(document), 0, 0)
	if err != nil {
		return false, nil
	}
	var head declarer.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return false, nil
	}
	switch {
	case head.Writer == written.Writer, slices.Contains(head.PreviousWriters, written.Writer):
		return true, nil
	case object.Version > base.Version && object.Version-base.Version <= maxPreviousWriters:
		return true, failer.New(op, KindConflict, "another writer applied generation %d first", head.Generation)
	default:
		return true, failer.New(op, KindUnknown, "the head has changed too often since the update; generation %d may have been applied and superseded", written.Generation)
	}
}

// putContent writes a content object. Its name contains its digest, so the write
// can be repeated safely.
func (s Store) putContent(ctx context.Context, document, digest string, content []byte) error {
	name := ContentName(document, digest)
	_, err := s.Put(ctx, name, 0, content)
	if err == nil || failer.Is(err, watcher.KindConflict) {
		return nil
	}
	if _, err := s.Object(ctx, name, 0, 0); err == nil {
		return nil
	}
	return failer.Wrap("write content", KindPlatformUnavailable, err)
}
