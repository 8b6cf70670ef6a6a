package parser

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Document is a decoded source with the places of its values.
type Document struct {
	Errors ErrorList

	source []byte
	places map[string]int // path to byte offset
}

// Decode reads source into the struct that into points to, which holds the
// defaults. FaultErrors are collected in the document; into is filled as far as
// possible.
func Decode(source []byte, into any) *Document {
	d := &Document{source: source, places: make(map[string]int)}
	root, err := hujson.Parse(source)
	if err != nil {
		d.Errors = append(d.Errors, syntaxFault(err))
		return d
	}
	d.value(&root, "", reflect.ValueOf(into).Elem())
	return d
}

// AddError adds a fault at the value with the given path, or at the nearest
// enclosing value that the document has.
func (d *Document) AddError(path, format string, args ...any) {
	offset := 0
	for at := path; at != ""; {
		if o, ok := d.places[at]; ok {
			offset = o
			break
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	d.faultAt(offset, path, format, args...)
}

func (d *Document) faultAt(offset int, path, format string, args ...any) {
	before := string(d.source[:min(offset, len(d.source))])
	line := strings.Count(before, "\n") + 1
	column := offset - strings.LastIndex(before, "\n")
	d.Errors = append(d.Errors, Error{line, column, path, fmt.Sprintf(format, args...)})
}

var (
	durationType = reflect.TypeFor[Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

func (d *Document) value(v *hujson.Value, path string, into reflect.Value) {
	if path != "" {
		d.places[path] = v.StartOffset
	}
	switch into.Type() {
	case durationType:
		d.duration(v, path, into)
		return
	case timeType:
		d.time(v, path, into)
		return
	case rawType:
		into.SetBytes(standard(v))
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.object(v, path, into)
	case reflect.Slice:
		d.array(v, path, into)
	default:
		d.literal(v, path, into)
	}
}

func (d *Document) object(v *hujson.Value, path string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.faultAt(v.StartOffset, path, "must be an object")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, ok := fieldOf(into, name)
		switch {
		case !ok:
			d.faultAt(m.Name.StartOffset, at, "unknown key; known are %s", strings.Join(keysOf(into.Type()), ", "))
		case seen[name]:
			d.faultAt(m.Name.StartOffset, at, "stands twice")
		default:
			d.value(&m.Value, at, field)
		}
		seen[name] = true
	}
}

func (d *Document) array(v *hujson.Value, path string, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.faultAt(v.StartOffset, path, "must be an array")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	into.Set(out)
}

func (d *Document) literal(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.faultAt(v.StartOffset, path, "must be %s", describe(into.Kind()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil || string(literal) == "null" {
		d.faultAt(v.StartOffset, path, "must be %s, is %s", describe(into.Kind()), literal)
	}
}

func (d *Document) duration(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.faultAt(v.StartOffset, path, `must be a time with a unit, such as "250ms"`)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.faultAt(v.StartOffset, path, `must be a time with a unit, such as "250ms", is %s`, literal)
		return
	}
	into.SetInt(int64(parsed))
}

func (d *Document) time(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, into.Addr().Interface()) != nil {
		d.faultAt(v.StartOffset, path, "must be a time such as \"2030-01-31T11:30:00+10:00\"")
	}
}

// standard returns the value as plain JSON.
func standard(v *hujson.Value) []byte {
	c := v.Clone()
	c.Standardize()
	c.Minimize()
	return c.Pack()
}

func syntaxFault(err error) Error {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	f := Error{Line: 1, Column: 1, Message: text}
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, f.Message, _ = strings.Cut(text, ": ")
	}
	return f
}

func fieldOf(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if keyOf(into.Type().Field(i)) == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = keyOf(t.Field(i))
	}
	return keys
}

func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describe(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	}
	return k.String()
}

// String returns the duration's text form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return []byte(strconv.Quote(d.String())), nil }
