package pacer

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pacer")
}
