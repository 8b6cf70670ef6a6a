package journaler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// MaxPayload is the largest payload of a segment or chunk of a snapshot, in
// bytes. The rest of the store's limit is for the header.
const MaxPayload = storer.MaxValue - 4096

// segment is the value of a slot: one line of JSON and the payload. The
// payload of a group commit is one line for each batch. A group that is larger
// than a segment continues in the next one.
type segment struct {
	Sequence int64  `json:"sequence"`
	Epoch    int64  `json:"epoch"`
	Nonce    string `json:"nonce"`
	Next     int    `json:"next"` // slot of the next segment
	More     bool   `json:"more,omitempty"`
	payload  []byte
}

type batchLine struct {
	Batch   int64              `json:"batch"`
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
		return segment{}, errors.New("journaler: segment without header")
	}
	var s segment
	if err := json.Unmarshal(header, &s); err != nil {
		return segment{}, fmt.Errorf("journaler: decode segment: %w", err)
	}
	if s.Sequence < 1 || s.Epoch < 1 || s.Next < 0 || s.Nonce == "" {
		return segment{}, errors.New("journaler: segment header out of range")
	}
	s.payload = payload
	return s, nil
}

func encodeBatch(batch int64, records []describer.Record) ([]byte, error) {
	line, err := json.Marshal(batchLine{batch, records})
	if err != nil {
		return nil, fmt.Errorf("journaler: encode batch: %w", err)
	}
	return append(line, '\n'), nil
}

// decodeBatches reads the payload of a whole group.
func decodeBatches(payload []byte) ([]batchLine, error) {
	var out []batchLine
	for len(payload) > 0 {
		line, rest, ok := bytes.Cut(payload, []byte{'\n'})
		if !ok {
			return nil, errors.New("journaler: batch is cut off")
		}
		var b batchLine
		if err := json.Unmarshal(line, &b); err != nil {
			return nil, fmt.Errorf("journaler: decode batch: %w", err)
		}
		out = append(out, b)
		payload = rest
	}
	return out, nil
}
