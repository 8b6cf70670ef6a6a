package journaler

import (
	"encoding/json"
	"errors"
	"fmt"
)

// head is the one record by which a ledger is claimed and its snapshot
// switched, both by compare-and-swap.
type head struct {
	Epoch    int64    `json:"epoch"`
	Owner    string   `json:"owner"`
	Nonce    string   `json:"nonce"`
	Change   int64    `json:"change"`   // counts writes of this nonce
	Sequence int64    `json:"sequence"` // of the first segment to replay
	Slot     int      `json:"slot"`     // of the first segment to replay
	Snapshot snapshot `json:"snapshot,omitzero"`
}

// maxChunks bounds a snapshot, about 1 GB.
const maxChunks = 1024

// snapshot names the chunks that replace all batches of earlier epochs, and
// those of its own epoch up to Batch.
type snapshot struct {
	Name   string `json:"name"`
	Chunks int    `json:"chunks"`
	Size   int64  `json:"size"` // bytes of all chunks
	Sum    uint64 `json:"sum"`  // xxhash of all chunks
	Epoch  int64  `json:"epoch"`
	Batch  int64  `json:"batch"`
}

// covers reports whether a batch is contained in the snapshot.
func (s snapshot) covers(epoch, batch int64) bool {
	return s.Name != "" && (epoch < s.Epoch || epoch == s.Epoch && batch <= s.Batch)
}

func (h head) encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("journaler: encode head: %w", err)
	}
	return b, nil
}

func decodeHead(value []byte) (head, error) {
	var h head
	if err := json.Unmarshal(value, &h); err != nil {
		return head{}, fmt.Errorf("journaler: decode head: %w", err)
	}
	if h.Epoch < 1 || h.Sequence < 1 || h.Slot < 0 || h.Nonce == "" {
		return head{}, errors.New("journaler: head out of range")
	}
	if s := h.Snapshot; s.Chunks < 0 || s.Chunks > maxChunks || s.Size < 0 || s.Size > int64(s.Chunks)*MaxPayload {
		return head{}, errors.New("journaler: snapshot out of range")
	}
	return h, nil
}
