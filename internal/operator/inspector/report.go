package inspector

import (
	"fmt"
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/checker"
)

// Finding is one thing that is wrong in a file.
type Finding struct {
	Severity checker.Severity `json:"severity"`
	Line     int              `json:"line"`   // counted from 1
	Column   int              `json:"column"` // byte in the line, counted from 1
	Path     string           `json:"path"`   // field; empty for a syntax error
	Text     string           `json:"text"`
}

// Report is the result of a check.
type Report struct {
	File     string           `json:"file"`
	Kind     string           `json:"kind"`   // empty if a syntax error hides it
	Errors   int              `json:"errors"` // number of errors
	Warnings int              `json:"warnings"`
	Findings []Finding        `json:"findings"`         // in the order of the file
	Changes  []checker.Change `json:"changes,omitzero"` // nil if no version in force was given
}

// Text returns the report with one line for each finding and each change, and a summary
// as its last line.
func (r Report) Text() string {
	var out strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&out, "%s:%d:%d: ", r.File, f.Line, f.Column)
		if f.Severity == checker.Warning {
			out.WriteString("warning: ")
		}
		if f.Path != "" {
			out.WriteString(f.Path + ": ")
		}
		out.WriteString(f.Text + "\n")
	}
	if r.Changes != nil {
		fmt.Fprintf(&out, "%s from the version in force\n", count(len(r.Changes), "difference"))
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&out, "  %s\n", c)
	}
	if len(r.Findings) == 0 {
		out.WriteString(r.File + ": ok\n")
	} else {
		fmt.Fprintf(&out, "%s: %s, %s\n", r.File, count(r.Errors, "error"), count(r.Warnings, "warning"))
	}
	return out.String()
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
