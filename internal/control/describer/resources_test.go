package describer

import "testing"

func TestResourcesFits(t *testing.T) {
	capacity := Resources{CPU: 1000, Memory: 512, Accelerators: 1}
	if !capacity.Fits(capacity) {
		t.Fatal("an amount must fit into an equal capacity")
	}
	if (Resources{CPU: 1, Accelerators: 2}).Fits(capacity) {
		t.Fatal("2 accelerators must not fit into 1")
	}
}
