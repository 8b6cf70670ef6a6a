package messenger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzReadObject checks that no input makes the codec return a message above its limit.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add([]byte("\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01"))
	f.Add([]byte("\xff\xff\xff\x7f["))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &boundedCodec{maxSize: 1 << 10}
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			var v json.RawMessage
			if c.ReadObject(r, &v) != nil {
				return
			}
			if int64(len(v)) > c.maxSize {
				t.Fatalf("message of %d bytes read above the limit", len(v))
			}
		}
	})
}
