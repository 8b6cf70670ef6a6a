// Package parser reads and checks settings in JSON with comments.
//
// # Faults
//
// A file is checked in full: [Decode] walks the whole document against the Go
// type and collects every [Error] with its line and column, instead of
// stopping at the first. [Read] adds the checks of a daemon's [Settings].
//
//	settings, err := parser.Read(source)
//	var faults parser.FaultErrors
//	if errors.As(err, &faults) {
//		// one line for each fault
//	}
package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one thing that is wrong in a document.
type Error struct {
	Line    int    // from 1
	Column  int    // from 1, in bytes
	Path    string // such as listen.callers
	Message string
}

func (f Error) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// ErrorList is everything that is wrong, in the order of the document.
type ErrorList []Error

func (f ErrorList) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return "parser: " + strings.Join(lines, "; ")
}

// sorted returns the faults in document order, or nil if there are none.
func (f ErrorList) sorted() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}
