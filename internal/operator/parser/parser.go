// Package parser decodes and checks files in JSON with comments, in particular a
// daemon's settings.
//
// # Errors
//
// A file is checked in full: [Decode] walks the whole document against the Go
// type and collects every [Error] with its line and column, instead of
// stopping at the first. [Read] adds the checks of a daemon's [Settings].
//
//	settings, err := parser.Read(source)
//	var list parser.Errors
//	if errors.As(err, &list) {
//		// one line for each error
//	}
package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one thing that is wrong in a document.
type Error struct {
	Line    int    // counted from 1
	Column  int    // byte in the line, counted from 1
	Path    string // place of the value, such as listen.callers or peers[0]; empty for a syntax error
	Message string
}

// String formats the error as line:column: path: message.
func (e Error) String() string {
	if e.Path == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Path, e.Message)
}

// Errors holds everything that is wrong in a document, in document order.
type Errors []Error

func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.String()
	}
	return "parser: " + strings.Join(lines, "; ")
}

// sorted sorts the list into document order and returns it, or nil if it is empty.
func (l Errors) sorted() error {
	if len(l) == 0 {
		return nil
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
	return l
}
