package loader

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// TestTable compares the text table with testdata/table.golden.
func TestTable(t *testing.T) {
	mix := []Kind{{Tenant: "minara", Class: "hold", Service: "keepdesk"}, {Tenant: "council", Class: "wave", Service: "menu-desk"}}
	report := Report{
		Settings: Settings{Rate: 110, Duration: parser.Duration(10 * time.Second), Seed: 7},
		Kinds:    newKindReports(mix),
	}
	for i := range 1000 {
		report.Kinds[0].count(answered, time.Duration(i)*time.Millisecond/10)
	}
	for i, o := range []outcome{late, refused, failed, lost, unsent} {
		report.Kinds[1].count(o, time.Duration(i+1)*time.Second)
	}
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, "table", []byte(report.Table()))
}
