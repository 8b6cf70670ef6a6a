package reporter

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestWriterClosesTwice(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewWriter(&out, 4)
	_, err := w.Write([]byte("line\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Close()).To(Succeed())
	g.Expect(w.Close()).To(Succeed())
	g.Expect(out.String()).To(Equal("line\n"))
}

// heldWriter holds the first write until it is released, and keeps all of them.
type heldWriter struct {
	held, released chan struct{}
	writes         []string
}

func (w *heldWriter) Write(data []byte) (int, error) {
	if len(w.writes) == 0 {
		close(w.held)
		<-w.released
	}
	w.writes = append(w.writes, string(data))
	return len(data), nil
}

// TestWritesAreNotCut guards against log lines that are lost because many were queued: what
// collects the log may keep only the beginning of a long write.
func TestWritesAreNotCut(t *testing.T) {
	g := NewWithT(t)
	out := &heldWriter{held: make(chan struct{}), released: make(chan struct{})}
	w := NewWriter(out, 1000)
	line := strings.Repeat("x", 199) + "\n"
	all := ""
	for i := range 200 {
		_, err := w.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
		all += line
		if i == 0 {
			<-out.held
		}
	}
	close(out.released)
	g.Expect(w.Close()).To(Succeed())
	for _, data := range out.writes {
		g.Expect(len(data)).To(BeNumerically("<=", maxWrite))
		g.Expect(data).To(HaveSuffix("\n"), "whole lines")
	}
	g.Expect(strings.Join(out.writes, "")).To(Equal(all))
}
