package fitter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// candidate returns a worker with the given free and unused millicores.
func candidate(cpu int64) Candidate {
	return Candidate{
		Free:     describer.Resources{CPU: cpu, Memory: 1000},
		Capacity: describer.Resources{CPU: 16000, Memory: 1000}, UnusedCPU: cpu,
	}
}

func request(cpu int64) Request { return Request{Reserved: describer.Resources{CPU: cpu, Memory: 10}} }

func anywhere(int) bool { return true }

var _ = Describe("Choose", func() {
	It("takes the worker with the most free capacity", func() {
		Expect(Choose([]Candidate{candidate(2000), candidate(8000), candidate(4000)}, request(1000), anywhere)).To(Equal(1))
	})

	It("returns -1 when the task fits nowhere", func() {
		Expect(Choose([]Candidate{candidate(500), candidate(999)}, request(1000), anywhere)).To(Equal(-1))
	})

	It("skips closed and disallowed workers", func() {
		closed := candidate(9000)
		closed.Closed = true
		candidates := []Candidate{closed, candidate(8000), candidate(2000)}
		Expect(Choose(candidates, request(1000), func(i int) bool { return i != 1 })).To(Equal(2))
	})

	It("prefers the requested rack as long as the task fits there", func() {
		near, far := candidate(1500), candidate(15000)
		near.Rack, far.Rack = "r1-1", "r1-2"
		r := request(1000)
		r.Rack = "r1-1"
		Expect(Choose([]Candidate{far, near}, r, anywhere)).To(Equal(1))
		r.Reserved.CPU = 2000
		Expect(Choose([]Candidate{far, near}, r, anywhere)).To(Equal(0))
	})

	It("prefers warm workers to cold ones, but not to the requested rack", func() {
		warm, cold := candidate(1500), candidate(15000)
		cold.Cold, cold.Rack = true, "r1-2"
		r := request(1000)
		Expect(Choose([]Candidate{cold, warm}, r, anywhere)).To(Equal(1))
		r.Rack = "r1-2"
		Expect(Choose([]Candidate{cold, warm}, r, anywhere)).To(Equal(0))
		r = request(2000)
		Expect(Choose([]Candidate{cold, warm}, r, anywhere)).To(Equal(0), "the only one with room")
	})

	It("puts a filler where it disturbs no serving task", func() {
		disturbed, undisturbed := candidate(15000), candidate(9000)
		disturbed.Interference = 0.8
		Expect(Choose([]Candidate{disturbed, undisturbed}, Request{FillerCPU: 2000}, anywhere)).To(Equal(1))
		undisturbed.UnusedCPU = 1000
		Expect(Choose([]Candidate{disturbed, undisturbed}, Request{FillerCPU: 2000}, anywhere)).To(Equal(0))
	})

	It("groups serving tasks of one image", func() {
		same, empty := candidate(9000), candidate(15000)
		same.SameImage = 1
		Expect(Choose([]Candidate{empty, same}, request(1000), anywhere)).To(Equal(1))
	})

	It("takes the fullest worker for best fit, but prefers the requested rack", func() {
		r := request(1000)
		r.BestFit = true
		candidates := []Candidate{candidate(2000), candidate(500), candidate(8000), candidate(1500)}
		Expect(Choose(candidates, r, anywhere)).To(Equal(3))
		candidates[2].Rack, r.Rack = "r1-1", "r1-1"
		Expect(Choose(candidates, r, anywhere)).To(Equal(2))
	})

	It("ranks the allowed workers with room as it chooses among them", func() {
		candidates := []Candidate{candidate(2000), candidate(500), candidate(8000), candidate(4000)}
		ranked := Rank(candidates, request(1000), func(i int) bool { return i != 3 })
		Expect(ranked).To(Equal([]int{2, 0}))
	})

	It("subtracts what a task takes", func() {
		c := candidate(4000)
		r := request(1000)
		c.Reserve(&r)
		Expect(c.Free.CPU).To(Equal(int64(3000)))
		Expect(c.UnusedCPU).To(Equal(int64(3000)))
	})
})

// BenchmarkChoose measures one choice among 500 workers.
func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 500)
	for i := range candidates {
		candidates[i] = candidate(int64(i*31%16000) + 1)
	}
	r := request(1000)
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, r, anywhere)
	}
}
