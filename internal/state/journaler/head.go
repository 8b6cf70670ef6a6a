package journaler

import (
	"encoding/json"
	"errors"
	"fmt"
)

// head is the record that names the owner of a ledger, its snapshot and its
// first segment. Claims and new snapshots replace it by compare-and-swap.
type head struct {
	Epoch         int64    `json:"epoch"`
	Owner         string   `json:"owner"`
	Nonce         string   `json:"nonce"`
	Change        int64    `json:"change"`   // number of head writes by the instance with this nonce
	FirstSequence int64    `json:"sequence"` // sequence of the first segment to replay
	FirstSlot     int      `json:"slot"`     // slot of the first segment to replay
	Snapshot      snapshot `json:"snapshot,omitzero"`
}

// maxChunks bounds the size of a snapshot to about 1 GB.
const maxChunks = 1024

// snapshot describes a stored snapshot. It replaces all batches of earlier
// epochs and the batches of its own epoch up to and including Batch.
type snapshot struct {
	Name     string `json:"name"`
	Chunks   int    `json:"chunks"`
	Size     int64  `json:"size"` // bytes of all chunks together
	Checksum uint64 `json:"sum"`  // xxhash of all chunks together
	Epoch    int64  `json:"epoch"`
	Batch    int64  `json:"batch"`
}

// covers reports whether the snapshot contains a batch.
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
	if h.Epoch < 1 || h.FirstSequence < 1 || h.FirstSlot < 0 || h.Nonce == "" {
		return head{}, errors.New("journaler: head has invalid epoch, sequence, slot or nonce")
	}
	if s := h.Snapshot; s.Chunks < 0 || s.Chunks > maxChunks || s.Size < 0 || s.Size > int64(s.Chunks)*MaxPayload {
		return head{}, errors.New("journaler: head has invalid snapshot size or number of chunks")
	}
	return h, nil
}
