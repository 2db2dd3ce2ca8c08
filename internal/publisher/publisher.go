// Package publisher writes documents to the platform: content first, then one
// conditional update of the head. A write whose reply was lost is settled by
// repeating it and reading the head back.
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

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindConflict means that somebody else's change came first; nothing was applied.
	KindConflict Kind = "conflict"
	// KindUnknown means that it could not be found out whether the change was applied.
	KindUnknown Kind = "unknown"
	// KindAway means that the platform did not answer; nothing was applied.
	KindAway Kind = "platformAway"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// settleTries bounds the repeats that settle a lost reply.
	settleTries = 20
	// settlePause is the wait between them.
	settlePause = 200 * time.Millisecond
	// earlierWriters is how many writers a head remembers.
	earlierWriters = 16
	// op names what this package does in its errors.
	op = "apply document"
)

// HeadName returns the name of a document's head object.
func HeadName(document string) string { return document + "/head" }

// ContentName returns the name of an immutable content object.
func ContentName(document, digest string) string { return document + "/content/" + digest }

// Store is the part of the platform that a publisher uses.
type Store struct {
	Object func(ctx context.Context, name string, after uint64, wait time.Duration) (declarer.Object, error)
	Put    func(ctx context.Context, name string, expected uint64, value []byte) (uint64, error)
}

// StoreOf returns the store of a platform client.
func StoreOf(c *watcher.Client) Store {
	return Store{Object: c.Object, Put: c.Put}
}

// Current is a document as the platform has it.
type Current struct {
	Head declarer.Head
	// Version is of the head object; zero if there is none.
	Version uint64
	Content []byte
}

// Read returns a document as the platform has it.
func (s Store) Read(ctx context.Context, document string) (Current, error) {
	object, err := s.Object(ctx, HeadName(document), 0, 0)
	if failer.Is(err, watcher.KindAbsent) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, failer.Wrap("read head", KindAway, err)
	}
	current := Current{Version: object.Version}
	if err := json.Unmarshal(object.Value, &current.Head); err != nil {
		return Current{}, failer.Wrap("read head", KindAway, err)
	}
	content, err := s.Object(ctx, ContentName(document, current.Head.Digest), 0, 0)
	if err != nil {
		return Current{}, failer.Wrap("read content", KindAway, err)
	}
	current.Content = content.Value
	return current, nil
}

// Apply makes content the next generation of a document, if the head is still
// the one in base. The new generation is above base's and above atLeast, the
// highest that any daemon has in force, so that a restored store cannot bring
// back a generation that was used.
func (s Store) Apply(ctx context.Context, document string, base Current, content []byte, atLeast uint64) (declarer.Head, error) {
	digest := configurator.Digest(content)
	head := declarer.Head{
		Generation: max(base.Head.Generation, atLeast) + 1,
		Digest:     digest,
		Writer:     rand.Text(),
	}
	head.PreviousWriters = append([]string{base.Head.Writer}, base.Head.PreviousWriters...)
	head.PreviousWriters = head.PreviousWriters[:min(len(head.PreviousWriters), earlierWriters)]
	if err := s.putContent(ctx, document, digest, content); err != nil {
		return head, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return head, failer.Wrap("encode head", KindAway, err)
	}
	return head, s.putHead(ctx, document, base, head, value)
}

// putHead makes the conditional update, and makes it again until its fate is
// known: a write that was lost, or that is still on its way, cannot take effect
// after one of the repeats has, or after another writer's.
func (s Store) putHead(ctx context.Context, document string, base Current, head declarer.Head, value []byte) error {
	for range settleTries {
		_, err := s.Put(ctx, HeadName(document), base.Version, value)
		if err == nil {
			return nil
		}
		if failer.Is(err, watcher.KindConflict) {
			settled, err := s.settle(ctx, document, base, head)
			if settled {
				return err
			}
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
		}
	}
	return failer.New(op, KindUnknown, "the platform does not say whether generation %d was applied; run get -head and look for writer %s", head.Generation, head.Writer)
}

// settle reads the head back after a conflict, which may be with our own write.
func (s Store) settle(ctx context.Context, document string, base Current, wrote declarer.Head) (settled bool, err error) {
	object, err := s.Object(ctx, HeadName(document), 0, 0)
	if err != nil {
		return false, nil
	}
	var head declarer.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return false, nil
	}
	switch {
	case head.Writer == wrote.Writer, slices.Contains(head.PreviousWriters, wrote.Writer):
		return true, nil
	case object.Version > base.Version && object.Version-base.Version <= earlierWriters:
		return true, failer.New(op, KindConflict, "generation %d of another writer came first", head.Generation)
	default:
		return true, failer.New(op, KindUnknown, "the head was changed too often since; generation %d may have been in force in between", wrote.Generation)
	}
}

// putContent writes a content object; its name is its digest, so that writing
// it twice does no harm.
func (s Store) putContent(ctx context.Context, document, digest string, content []byte) error {
	name := ContentName(document, digest)
	_, err := s.Put(ctx, name, 0, content)
	if err == nil || failer.Is(err, watcher.KindConflict) {
		return nil
	}
	if _, err := s.Object(ctx, name, 0, 0); err == nil {
		return nil
	}
	return failer.Wrap("write content", KindAway, err)
}
