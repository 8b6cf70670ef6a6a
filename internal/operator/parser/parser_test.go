package parser

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestParser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "parser")
}

var _ = Describe("Read", func() {
	It("keeps the defaults where a file has no value", func() {
		source, err := os.ReadFile("testdata/entry.hujson")
		Expect(err).NotTo(HaveOccurred())
		s, err := Read(source)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Name).To(Equal("bne-1"))
		Expect(s.Lease.Shard).To(Equal(Defaults().Lease.Shard))
		Expect(s.Traffic.DefaultDeadline.String()).To(Equal("1.5s"))
	})

	It("reports the position of a syntax error", func() {
		_, err := Read([]byte("{\n  \"name\": \"a\" \"b\"\n}"))
		var list Errors
		Expect(errors.As(err, &list)).To(BeTrue())
		Expect(list).To(HaveLen(1))
		Expect(list[0].Line).To(Equal(2))
	})
})

func TestReadListsEveryFaultWithItsPlace(t *testing.T) {
	source, err := os.ReadFile("testdata/faulty.hujson")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Read(source)
	var list Errors
	if !errors.As(err, &list) {
		t.Fatalf("want parser errors, have %v", err)
	}
	var lines []string
	for _, e := range list {
		lines = append(lines, e.String())
	}
	goldie.New(t).Assert(t, "faulty", []byte(strings.Join(lines, "\n")+"\n"))
}

func FuzzRead(f *testing.F) {
	for _, name := range []string{"testdata/entry.hujson", "testdata/faulty.hujson"} {
		source, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(source)
	}
	f.Add([]byte("null"))
	f.Add([]byte(`{"peers":[[1],{}]}`))
	f.Fuzz(func(_ *testing.T, source []byte) {
		_, _ = Read(source)
	})
}
