package specifier_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpecifier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "specifier")
}
