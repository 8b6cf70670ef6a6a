package leaser_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// current runs the bubbles of specs with virtual time.
var current *testing.T

func TestLeaser(t *testing.T) {
	current = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Leaser")
}
