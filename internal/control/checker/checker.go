// Package checker finds what is wrong in a configuration before it is put in force.
//
// # Model
//
// The load that it addresses is the operators' own: a configuration with thousands of
// entries is edited by hand, and a mistake in it takes effect on all entry hosts at once.
// [Catalog] checks the configuration of the job model and [Configuration] the product's own
// one. Each [Finding] names a field and says what is wrong: an invalid value, a
// reference to nothing, an entry that no request reaches, or limits that contradict each
// other. Faults that make an entry useless, or that a daemon refuses, are errors; what
// may be intended is a warning.
//
//	findings := checker.Catalog(catalog, workers)
//	changes, more := checker.CompareCatalogs(inForce, catalog)
//
// Fields of a configuration are named as in its file; those of a catalog are named by the
// fields of [specifier.Catalog] in lower case, such as queues[3].advice.validity.
//
// The package is pure: it reads no files, no clock and no state of the cluster. Workers
// are an argument; without them nothing is said about entries that lack workers.
package checker

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Severity says whether a finding prevents the use of a configuration.
type Severity int

// Severities of findings.
const (
	Warning Severity = iota // may be intended
	Error                   // an entry can't work, or daemons refuse the configuration
)

// String returns the severity in lower case.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one thing that is wrong in a configuration.
type Finding struct {
	Severity Severity
	Path     string // field, such as queues[3].service
	Text     string
}

// Worker is what a check needs to know of a registered worker.
type Worker struct {
	Services []string
	Domain   string // failure domain
	Rack     string
	Capacity describer.Resources
}

// findings collects findings.
type findings []Finding

func (f *findings) addError(path, format string, args ...any) {
	*f = append(*f, Finding{Error, path, fmt.Sprintf(format, args...)})
}

func (f *findings) addWarning(path, format string, args ...any) {
	*f = append(*f, Finding{Warning, path, fmt.Sprintf(format, args...)})
}

// checkNames adds errors for entries without a name and for names that are used twice.
// path returns the path of the name of entry i.
func checkNames[T any](f *findings, entries []T, name func(*T) string, path func(i int) string) {
	first := make(map[string]int)
	for i := range entries {
		n := name(&entries[i])
		if n == "" {
			f.addError(path(i), "is missing")
			continue
		}
		if other, ok := first[n]; ok {
			f.addError(path(i), "%q is used twice, first by entry [%d]", n, other)
			continue
		}
		first[n] = i
	}
}

// checkNotNegative adds an error if the value is negative.
func checkNotNegative[T int | int64 | float64 | time.Duration](f *findings, path string, value T) {
	if value < 0 {
		f.addError(path, "must not be negative, is %v", value)
	}
}

// workersByService returns the number of workers of each service.
func workersByService(workers []Worker) map[string]int {
	count := make(map[string]int)
	for i := range workers {
		services := slices.Clone(workers[i].Services)
		slices.Sort(services)
		for _, service := range slices.Compact(services) {
			count[service]++
		}
	}
	return count
}
