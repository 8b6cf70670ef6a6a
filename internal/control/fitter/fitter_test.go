package fitter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

func room(cpu int64) Candidate {
	return Candidate{
		Free:     describer.Resources{CPU: cpu, Memory: 1000},
		Capacity: describer.Resources{CPU: 16000, Memory: 1000}, UnusedCPU: cpu,
	}
}

func need(cpu int64) Request { return Request{Reserved: describer.Resources{CPU: cpu, Memory: 10}} }

func anywhere(int) bool { return true }

var _ = Describe("Choose", func() {
	It("takes the worker with the most room left", func() {
		Expect(Choose([]Candidate{room(2000), room(8000), room(4000)}, need(1000), anywhere)).To(Equal(1))
	})

	It("finds none where nothing fits", func() {
		Expect(Choose([]Candidate{room(500), room(999)}, need(1000), anywhere)).To(Equal(-1))
	})

	It("passes over closed and forbidden workers", func() {
		closed := room(9000)
		closed.Closed = true
		rooms := []Candidate{closed, room(8000), room(2000)}
		Expect(Choose(rooms, need(1000), func(i int) bool { return i != 1 })).To(Equal(2))
	})

	It("prefers the rack of the data as long as there is room", func() {
		near, far := room(1500), room(15000)
		near.Rack, far.Rack = "r1-1", "r1-2"
		n := need(1000)
		n.Rack = "r1-1"
		Expect(Choose([]Candidate{far, near}, n, anywhere)).To(Equal(1))
		n.Reserved.CPU = 2000
		Expect(Choose([]Candidate{far, near}, n, anywhere)).To(Equal(0))
	})

	It("puts a filler on unused time where it does no harm", func() {
		harmed, harmless := room(15000), room(9000)
		harmed.Interference = 0.8
		Expect(Choose([]Candidate{harmed, harmless}, Request{FillerCPU: 2000}, anywhere)).To(Equal(1))
		harmless.UnusedCPU = 1000
		Expect(Choose([]Candidate{harmed, harmless}, Request{FillerCPU: 2000}, anywhere)).To(Equal(0))
	})

	It("draws serving tasks of one image together", func() {
		kin, empty := room(9000), room(15000)
		kin.SameImage = 1
		Expect(Choose([]Candidate{empty, kin}, need(1000), anywhere)).To(Equal(1))
	})

	It("books what it took", func() {
		r := room(4000)
		n := need(1000)
		r.Reserve(&n)
		Expect(r.Free.CPU).To(Equal(int64(3000)))
		Expect(r.UnusedCPU).To(Equal(int64(3000)))
	})
})

// BenchmarkChoose is one choice among 500 workers.
func BenchmarkChoose(b *testing.B) {
	rooms := make([]Candidate, 500)
	for i := range rooms {
		rooms[i] = room(int64(i*31%16000) + 1)
	}
	n := need(1000)
	b.ReportAllocs()
	for b.Loop() {
		Choose(rooms, n, anywhere)
	}
}
