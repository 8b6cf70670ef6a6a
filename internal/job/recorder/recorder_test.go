package recorder_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("keys", func() {
	It("are parsed into kind and name", func() {
		kind, name := recorder.ParseViewKey(recorder.OwnerKey("menus@bne"))
		Expect([]any{kind, name}).To(Equal([]any{recorder.OwnerView, "menus@bne"}))
		kind, name = recorder.ParseViewKey(recorder.LoadKey("menus"))
		Expect([]any{kind, name}).To(Equal([]any{recorder.LoadView, "menus"}))
		kind, name = recorder.ParseViewKey(recorder.LayoutKey("menus"))
		Expect([]any{kind, name}).To(Equal([]any{recorder.LayoutView, "menus"}))
		kind, _ = recorder.ParseViewKey("elsewhere")
		Expect(kind).To(Equal(recorder.OtherView))
	})

	It("distinguish jobs, cancellations and transfers", func() {
		kind, id := recorder.ParseShardKey("menus", recorder.JobKey("menus", "1"))
		Expect([]any{kind, id}).To(Equal([]any{recorder.JobRecord, "1"}))
		kind, id = recorder.ParseShardKey("menus", recorder.CancelKey("menus", "1"))
		Expect([]any{kind, id}).To(Equal([]any{recorder.CancelRecord, "1"}))
		kind, id = recorder.ParseShardKey("menus", recorder.TransferKey("menus", specifier.TaskID{Job: "1", Index: 2}))
		Expect([]any{kind, id}).To(Equal([]any{recorder.TransferRecord, "1.0.0.2"}))
		for _, key := range []string{recorder.JobKey("other", "1"), recorder.ClaimKey("menus"), "elsewhere"} {
			kind, _ = recorder.ParseShardKey("menus", key)
			Expect(kind).To(Equal(recorder.OtherKey), key)
		}
	})
})

var _ = Describe("records", func() {
	It("are decoded to what was encoded", func() {
		in := recorder.Progress{Tasks: []recorder.TaskProgress{{Step: 1, Index: 2, Done: true}, {Failed: []int64{1, 1001}, Checkpoint: "c"}}}
		var out recorder.Progress
		Expect(recorder.Decode(recorder.Encode(in), &out)).To(Succeed())
		Expect(out).To(Equal(in))
	})

	It("omit empty fields", func() {
		Expect(string(recorder.Encode(recorder.IndexEntry{Shard: "a", Queue: "b", State: "queued"}))).To(Equal(`{"shard":"a","queue":"b","state":"queued"}`))
		Expect(string(recorder.Encode(recorder.IndexEntry{State: "failed", Ended: time.Unix(0, 0).UTC()}))).To(ContainSubstring("ended"))
	})

	It("can't be decoded if malformed", func() {
		var out recorder.IndexEntry
		Expect(recorder.Decode([]byte("{"), &out)).To(HaveOccurred())
	})
})

var _ = Describe("Ranges", func() {
	It("are clipped to the numbers that are known", func() {
		clipped, isWhole := recorder.Ranges{{-5, 1}, {3, 4}, {6, 1 << 62}}.Clip(8)
		Expect(clipped).To(Equal(recorder.Ranges{{0, 1}, {3, 4}, {6, 7}}))
		Expect(isWhole).To(BeFalse())
		_, isWhole = recorder.Ranges{{0, 7}}.Clip(8)
		Expect(isWhole).To(BeTrue())
	})

	It("hold numbers that follow each other as one range", func() {
		var r recorder.Ranges
		for _, n := range []int{0, 1, 2, 5, 7, 8} {
			r.Add(n)
		}
		Expect(r).To(Equal(recorder.Ranges{{0, 2}, {5, 5}, {7, 8}}))
		Expect(slices.Collect(r.All)).To(Equal([]int{0, 1, 2, 5, 7, 8}))
	})
})
