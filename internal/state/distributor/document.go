package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// basePrefix is not below Key, so that a watch of the document does not
// deliver bases.
const basePrefix = "base/"

// Bounds of a document.
const (
	maxChanges = 4096 // bytes of changes before a new base is written
	maxNonces  = 16   // proposals whose outcome can still be read back
)

// document is the value at Key. A watch delivers the whole value with each
// change, so the bulk of the configuration stands in a base of its own, and
// the document only holds the changes since.
type document struct {
	Revision int64    `json:"revision"`
	Base     string   `json:"base"` // name, see baseName
	From     int64    `json:"from"` // revision of the base
	Nonces   []string `json:"nonces"`
	Changes  []change `json:"changes,omitempty"` // from From to Revision
}

func decodeDocument(value []byte) (document, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, fmt.Errorf("distributor: decode document: %w", err)
	}
	if d.From < 1 || d.Revision != d.From+int64(len(d.Changes)) {
		return d, errors.New("distributor: document out of range")
	}
	for i, g := range d.Changes {
		if g.Revision != d.From+int64(i)+1 {
			return d, errors.New("distributor: changes out of order")
		}
	}
	return d, nil
}

func newNonce() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

func baseName(revision int64, nonce string) string {
	return strconv.FormatInt(revision, 10) + "-" + nonce
}

// baseRevision returns the revision in the name of a base, or false.
func baseRevision(name string) (int64, bool) {
	text, _, _ := strings.Cut(name, "-")
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// resolve returns the configuration of a document, from the one at hand if
// the changes lead on from it, otherwise from the base.
func (d *Distributor) resolve(ctx context.Context, doc document) (describer.Configuration, error) {
	current := d.Current()
	if doc.Revision <= current.Revision {
		return current, nil
	}
	if current.Revision >= doc.From {
		c, err := advance(current, doc.Changes)
		if err == nil && c.Revision == doc.Revision {
			return c, nil
		}
	}
	return d.rebuild(ctx, doc)
}

// rebuild reads the base and applies the changes.
func (d *Distributor) rebuild(ctx context.Context, doc document) (describer.Configuration, error) {
	item, err := d.store.Get(ctx, basePrefix+doc.Base)
	if err != nil {
		return describer.Configuration{}, err
	}
	var c describer.Configuration
	if err := json.Unmarshal(item.Value, &c); err != nil {
		return c, fmt.Errorf("distributor: decode base: %w", err)
	}
	if c.Revision != doc.From {
		return c, errGap
	}
	return advance(c, doc.Changes)
}

// successor returns the document after a change to c, and whether it needs
// the base written.
func (doc document) successor(c describer.Configuration, g change, nonce string) (document, bool, error) {
	nonces := append(slices.Clone(doc.Nonces), nonce)
	next := document{
		Revision: c.Revision,
		Base:     doc.Base,
		From:     doc.From,
		Nonces:   nonces[max(0, len(nonces)-maxNonces):],
		Changes:  append(slices.Clone(doc.Changes), g),
	}
	b, err := json.Marshal(next.Changes)
	if err != nil {
		return next, false, fmt.Errorf("distributor: encode changes: %w", err)
	}
	if doc.Base != "" && len(b) <= maxChanges {
		return next, false, nil
	}
	next.Base, next.From, next.Changes = baseName(c.Revision, nonce), c.Revision, nil
	return next, true, nil
}

// clean deletes the bases that no document can name any more. A base of a
// greater revision may belong to a proposal under way.
func (d *Distributor) clean(ctx context.Context, doc document) {
	items, _, err := d.store.List(ctx, basePrefix)
	if err != nil {
		return
	}
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, basePrefix)
		revision, ok := baseRevision(name)
		if !ok || name == doc.Base || revision > doc.From {
			continue
		}
		if err := d.store.Delete(ctx, item.Key, item.Revision); err != nil && !errors.Is(err, storer.ErrNotFound) {
			d.log.Debug().Err(err).Str("key", item.Key).Msg("Old base not deleted.")
		}
	}
}
