// Package inspector checks files before they are used: a daemon's settings and
// configurations of several formats.
//
// # Model
//
// A [Kind] is a kind of file. It decodes a file with the positions of its values, and
// leaves the decision what is wrong to package checker or parser. [Inspect] finds a file's
// kind by its top-level keys and returns a [Report]: findings with line and column, and
// the differences from the version in force.
//
//	kinds := []inspector.Kind{inspector.Settings(), inspector.Configuration()}
//	report, err := inspector.Inspect(kinds, inspector.Input{File: name, Source: source})
//	fmt.Print(report.Text())
package inspector

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/checker"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// Input is what a check reads. Against and Workers are nil if they aren't given.
type Input struct {
	Kind    string // name of the file's kind; empty: found by the file's keys
	File    string // name of the file
	Source  []byte
	Against []byte // version in force
	Workers []byte // registered workers, in the format of the kind
}

// Kind is a kind of file. Format.Kind returns one.
type Kind struct {
	name    string
	keys    []string // top-level keys of such a file
	inspect func(in Input) (Report, error)
}

// Format describes how files of a kind are decoded into a T and checked.
type Format[T any] struct {
	Name   string   // value of the flag for the kind
	Keys   []string // top-level keys of such a file
	Decode func(source []byte) (T, *parser.Document)

	// DecodeInForce decodes the version in force; if nil, Decode does.
	DecodeInForce func(source []byte) (T, error)
	// Workers decodes the registered workers; nil if the kind has none.
	Workers func(source []byte) ([]checker.Worker, error)
	// Check may be nil if Decode checks the values.
	Check   func(value T, workers []checker.Worker) []checker.Finding
	Compare func(inForce, next T) ([]checker.Change, []checker.Finding)
	// Path translates the path of a finding to that in the file; nil if they are equal.
	Path func(path string) string
}

// Kind returns the format as a kind of file.
func (f Format[T]) Kind() Kind { return Kind{f.Name, f.Keys, f.inspect} }

// inspect checks a file of the format.
func (f Format[T]) inspect(in Input) (Report, error) {
	value, document := f.Decode(in.Source)
	r := Report{File: in.File, Kind: f.Name, Findings: []Finding{}}
	r.addParsed(checker.Error, document.Errors)
	r.addParsed(checker.Warning, document.Warnings)
	workers, err := f.decodeWorkers(in.Workers)
	if err != nil {
		return Report{}, err
	}
	if f.Check != nil && document.HasValues() {
		f.addChecked(&r, document, f.Check(value, workers))
	}
	if in.Against != nil {
		inForce, err := f.decodeInForce(in.Against)
		if err != nil {
			return Report{}, fmt.Errorf("version in force: %w", err)
		}
		if document.HasValues() {
			changes, findings := f.Compare(inForce, value)
			r.Changes = changes
			f.addChecked(&r, document, findings)
		}
	}
	r.finish()
	return r, nil
}

// addChecked adds findings about values of the document, except about those that couldn't
// be decoded: they have their defaults and not what the file says.
func (f Format[T]) addChecked(r *Report, document *parser.Document, findings []checker.Finding) {
	invalid := make(map[string]bool, len(document.Errors))
	for _, e := range document.Errors {
		invalid[e.Path] = true
	}
	for _, c := range findings {
		path := c.Path
		if f.Path != nil {
			path = f.Path(path)
		}
		if invalid[path] {
			continue
		}
		line, column := document.Position(path)
		r.Findings = append(r.Findings, Finding{c.Severity, line, column, path, c.Text})
	}
}

// decodeWorkers decodes the registered workers. The result is nil only if source is.
func (f Format[T]) decodeWorkers(source []byte) ([]checker.Worker, error) {
	if source == nil {
		return nil, nil
	}
	if f.Workers == nil {
		return nil, fmt.Errorf("files of kind %s aren't checked against workers", f.Name)
	}
	workers, err := f.Workers(source)
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	if workers == nil {
		workers = []checker.Worker{}
	}
	return workers, nil
}

func (f Format[T]) decodeInForce(source []byte) (T, error) {
	if f.DecodeInForce != nil {
		return f.DecodeInForce(source)
	}
	value, document := f.Decode(source)
	if len(document.Errors) > 0 {
		return value, document.Errors
	}
	return value, nil
}

// Inspect checks a file. The error is about the input, not about what the file says: an
// unknown kind, or a version in force or workers that can't be decoded.
func Inspect(kinds []Kind, in Input) (Report, error) {
	var names []string
	for _, k := range kinds {
		if k.name == in.Kind {
			return k.inspect(in)
		}
		names = append(names, k.name)
	}
	known := strings.Join(names, ", ")
	if in.Kind != "" {
		return Report{}, fmt.Errorf("kind %q is unknown; known are %s", in.Kind, known)
	}
	keys, err := parser.Keys(in.Source)
	var syntax parser.Errors
	if errors.As(err, &syntax) {
		r := Report{File: in.File}
		r.addParsed(checker.Error, syntax)
		r.finish()
		return r, nil
	}
	kind, ok := kindByKeys(kinds, keys)
	if !ok {
		return Report{}, fmt.Errorf("the kind of %s can't be told from its keys; choose one of %s", in.File, known)
	}
	return kind.inspect(in)
}

// kindByKeys returns the kind that shares the most top-level keys with a file, or false if
// none shares any or several share as many.
func kindByKeys(kinds []Kind, keys []string) (Kind, bool) {
	best, shared, isTie := Kind{}, 0, false
	for _, k := range kinds {
		n := 0
		for _, key := range keys {
			if slices.Contains(k.keys, key) {
				n++
			}
		}
		isTie = n == shared || isTie && n < shared
		if n > shared {
			best, shared = k, n
		}
	}
	return best, shared > 0 && !isTie
}

// addParsed adds errors or warnings of the parser.
func (r *Report) addParsed(severity checker.Severity, errs parser.Errors) {
	for _, e := range errs {
		r.Findings = append(r.Findings, Finding{severity, e.Line, e.Column, e.Path, e.Message})
	}
}

// finish sorts the findings into the order of the file and counts them.
func (r *Report) finish() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	for _, f := range r.Findings {
		if f.Severity == checker.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
}
