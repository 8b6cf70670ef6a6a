package journaler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// MaxPayload is the largest payload of a segment or of a snapshot chunk, in
// bytes. It leaves 4096 bytes of the store's limit for the segment header.
const MaxPayload = storer.MaxValueSize - 4096

// segment is the value of a slot: a header, which is one line of JSON, and the
// payload. The payload of a group commit has one line for each batch; if it
// exceeds MaxPayload, it continues in the next segment.
type segment struct {
	Sequence int64  `json:"sequence"`
	Epoch    int64  `json:"epoch"`
	Nonce    string `json:"nonce"`
	NextSlot int    `json:"next"`           // slot of the next segment
	More     bool   `json:"more,omitempty"` // the payload continues in the next segment
	payload  []byte
}

// batch is one encoded line of a payload.
type batch struct {
	Number  int64              `json:"batch"`
	Records []describer.Record `json:"records"`
}

func (s segment) encode() ([]byte, error) {
	header, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("journaler: encode segment: %w", err)
	}
	out := make([]byte, 0, len(header)+1+len(s.payload))
	out = append(out, header...)
	out = append(out, '\n')
	return append(out, s.payload...), nil
}

func decodeSegment(value []byte) (segment, error) {
	header, payload, ok := bytes.Cut(value, []byte{'\n'})
	if !ok {
		return segment{}, errors.New("journaler: segment has no header line")
	}
	var s segment
	if err := json.Unmarshal(header, &s); err != nil {
		return segment{}, fmt.Errorf("journaler: decode segment: %w", err)
	}
	if s.Sequence < 1 || s.Epoch < 1 || s.NextSlot < 0 || s.Nonce == "" {
		return segment{}, errors.New("journaler: segment header has invalid sequence, epoch, next slot or nonce")
	}
	s.payload = payload
	return s, nil
}

// encodeBatch returns the payload line of a batch.
func encodeBatch(number int64, records []describer.Record) ([]byte, error) {
	line, err := json.Marshal(batch{number, records})
	if err != nil {
		return nil, fmt.Errorf("journaler: encode batch: %w", err)
	}
	return append(line, '\n'), nil
}

// decodeBatches decodes the whole payload of a group commit.
func decodeBatches(payload []byte) ([]batch, error) {
	var out []batch
	for len(payload) > 0 {
		line, rest, ok := bytes.Cut(payload, []byte{'\n'})
		if !ok {
			return nil, errors.New("journaler: last batch is truncated")
		}
		var b batch
		if err := json.Unmarshal(line, &b); err != nil {
			return nil, fmt.Errorf("journaler: decode batch: %w", err)
		}
		out = append(out, b)
		payload = rest
	}
	return out, nil
}
