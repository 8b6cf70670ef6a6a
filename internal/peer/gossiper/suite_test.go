package gossiper_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// currentTest is the test that runs the specs; faker.WithVirtualTime needs it.
var currentTest *testing.T

func TestGossiper(t *testing.T) {
	currentTest = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gossiper")
}
