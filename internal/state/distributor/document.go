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

// basePrefix is the prefix of the store keys of bases. It does not begin with
// DocumentKey, so that a watch of the document does not deliver bases.
const basePrefix = "base/"

// Limits of a document.
const (
	maxChangeBytes = 4096 // size of the encoded changes above which a new base is written
	maxNonces      = 16   // number of proposals whose outcome can be read from the document
)

// document is the value at DocumentKey. A watch delivers the whole value with
// each change, so it is kept small: the document holds the recent changes only,
// and the configuration before them is stored under a key of its own, the base.
type document struct {
	Revision     int64    `json:"revision"`
	Base         string   `json:"base"` // name of the base, see baseName
	BaseRevision int64    `json:"from"`
	Nonces       []string `json:"nonces"`            // random ids of the latest proposals, oldest first
	Changes      []change `json:"changes,omitempty"` // changes from BaseRevision to Revision
}

// decodeDocument decodes a document and checks that its changes lead from the
// base revision to its revision without a gap.
func decodeDocument(value []byte) (document, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, fmt.Errorf("distributor: decode document: %w", err)
	}
	if d.BaseRevision < 1 || d.Revision != d.BaseRevision+int64(len(d.Changes)) {
		return d, errors.New("distributor: document revision does not match its base revision and changes")
	}
	for i, ch := range d.Changes {
		if ch.Revision != d.BaseRevision+int64(i)+1 {
			return d, errors.New("distributor: document changes have revisions out of order")
		}
	}
	return d, nil
}

// newNonce returns a random id of 16 hexadecimal digits.
func newNonce() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

// baseName returns the name of the base that a proposal writes. The nonce makes
// it unique.
func baseName(revision int64, nonce string) string {
	return strconv.FormatInt(revision, 10) + "-" + nonce
}

// baseRevision returns the revision in the name of a base. It returns false if
// there is none.
func baseRevision(name string) (int64, bool) {
	text, _, _ := strings.Cut(name, "-")
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// resolve returns the configuration that the document describes. It applies the
// changes to the current configuration if they lead on from it, and reads the
// base otherwise.
func (d *Distributor) resolve(ctx context.Context, doc document) (describer.Configuration, error) {
	current := d.Current()
	if doc.Revision <= current.Revision {
		return current, nil
	}
	if current.Revision >= doc.BaseRevision {
		c, err := applyChanges(current, doc.Changes)
		if err == nil && c.Revision == doc.Revision {
			return c, nil
		}
	}
	return d.readBase(ctx, doc)
}

// readBase reads the base of the document and applies the changes.
func (d *Distributor) readBase(ctx context.Context, doc document) (describer.Configuration, error) {
	item, err := d.store.Get(ctx, basePrefix+doc.Base)
	if err != nil {
		return describer.Configuration{}, err
	}
	var c describer.Configuration
	if err := json.Unmarshal(item.Value, &c); err != nil {
		return c, fmt.Errorf("distributor: decode base: %w", err)
	}
	if c.Revision != doc.BaseRevision {
		return c, errNotApplicable
	}
	return applyChanges(c, doc.Changes)
}

// next returns the document after the change ch, which leads to c. It also
// reports whether c must be written as the new base first.
func (doc document) next(c describer.Configuration, ch change, nonce string) (document, bool, error) {
	nonces := append(slices.Clone(doc.Nonces), nonce)
	next := document{
		Revision:     c.Revision,
		Base:         doc.Base,
		BaseRevision: doc.BaseRevision,
		Nonces:       nonces[max(0, len(nonces)-maxNonces):],
		Changes:      append(slices.Clone(doc.Changes), ch),
	}
	b, err := json.Marshal(next.Changes)
	if err != nil {
		return next, false, fmt.Errorf("distributor: encode changes: %w", err)
	}
	if doc.Base != "" && len(b) <= maxChangeBytes {
		return next, false, nil
	}
	next.Base, next.BaseRevision, next.Changes = baseName(c.Revision, nonce), c.Revision, nil
	return next, true, nil
}

// deleteOldBases deletes the bases that no document can refer to any more. It
// keeps bases of greater revisions, which may belong to proposals in progress.
func (d *Distributor) deleteOldBases(ctx context.Context, doc document) {
	items, _, err := d.store.List(ctx, basePrefix)
	if err != nil {
		return
	}
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, basePrefix)
		revision, ok := baseRevision(name)
		if !ok || name == doc.Base || revision > doc.BaseRevision {
			continue
		}
		if err := d.store.Delete(ctx, item.Key, item.Revision); err != nil && !errors.Is(err, storer.ErrNotFound) {
			d.log.Debug().Err(err).Str("key", item.Key).Msg("old base deletion failed")
		}
	}
}
