package parser

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Document is a decoded file with the positions of its values.
type Document struct {
	Errors   Errors
	Warnings Errors // unknown keys, only if decoded by DecodeLenient

	source   []byte
	lines    []int          // byte offsets of the lines in source
	offsets  map[string]int // byte offsets of values in source, by path
	lenient  bool           // see DecodeLenient
	isObject bool           // whether the source is an object without a syntax error
}

// Decode decodes source into the struct that into points to, whose values are the
// defaults. Errors are collected in the document; values without an error are set
// all the same.
func Decode(source []byte, into any) *Document { return decode(source, into, false) }

// DecodeLenient is like [Decode] for documents of other systems. It takes what
// encoding/json takes: unknown keys, which become warnings, keys in upper or lower case,
// and null for any value, which then keeps its default.
func DecodeLenient(source []byte, into any) *Document { return decode(source, into, true) }

// decode implements Decode and DecodeLenient.
func decode(source []byte, into any, lenient bool) *Document {
	d := &Document{source: source, lines: lineOffsets(source), offsets: make(map[string]int), lenient: lenient}
	root, err := hujson.Parse(source)
	if err != nil {
		d.Errors = append(d.Errors, syntaxError(err))
		return d
	}
	_, d.isObject = root.Value.(*hujson.Object)
	d.decodeValue(&root, "", reflect.ValueOf(into).Elem())
	return d
}

// HasValues reports whether the document is an object without a syntax error, so that its
// values could be decoded apart from those with errors.
func (d *Document) HasValues() bool { return d.isObject }

// AddError adds an error at the position of the value at path, or else of the
// nearest enclosing value that the document has.
func (d *Document) AddError(path, format string, args ...any) {
	line, column := d.Position(path)
	d.Errors = append(d.Errors, Error{line, column, path, fmt.Sprintf(format, args...)})
}

// AddErrorAt adds an error at a byte offset of the source, such as one of its syntax.
func (d *Document) AddErrorAt(offset int, format string, args ...any) {
	d.addErrorAt(offset, "", format, args...)
}

// Position returns the line and column of the value at path, or else of the nearest
// enclosing value that the document has.
func (d *Document) Position(path string) (line, column int) {
	for prefix := path; prefix != ""; {
		if offset, ok := d.offsets[prefix]; ok {
			return d.positionAt(offset)
		}
		end := strings.LastIndexAny(prefix, ".[")
		if end < 0 {
			break
		}
		prefix = prefix[:end]
	}
	return d.positionAt(0)
}

// positionAt returns the line and column of a byte offset of the source.
func (d *Document) positionAt(offset int) (line, column int) {
	offset = min(offset, len(d.source))
	line = sort.SearchInts(d.lines, offset+1)
	return line, offset - d.lines[line-1] + 1
}

// lineOffsets returns the byte offsets at which the lines of source begin.
func lineOffsets(source []byte) []int {
	offsets := []int{0}
	for i, c := range source {
		if c == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

// errorAt returns an error at a byte offset of the source.
func (d *Document) errorAt(offset int, path, format string, args ...any) Error {
	line, column := d.positionAt(offset)
	return Error{line, column, path, fmt.Sprintf(format, args...)}
}

// addErrorAt adds an error at a byte offset of the source.
func (d *Document) addErrorAt(offset int, path, format string, args ...any) {
	d.Errors = append(d.Errors, d.errorAt(offset, path, format, args...))
}

var (
	durationType = reflect.TypeFor[Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

// decodeValue decodes v, whose path is path, into a Go value by that value's type.
func (d *Document) decodeValue(v *hujson.Value, path string, into reflect.Value) {
	if path != "" {
		d.offsets[path] = v.StartOffset
	}
	if literal, ok := v.Value.(hujson.Literal); ok && d.lenient && literal.Kind() == 'n' {
		return
	}
	switch into.Type() {
	case durationType:
		d.decodeDuration(v, path, into)
		return
	case timeType:
		d.decodeTime(v, path, into)
		return
	case rawType:
		into.SetBytes(standardJSON(v))
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(v, path, into.Elem())
	case reflect.Struct:
		d.decodeObject(v, path, into)
	case reflect.Slice:
		d.decodeArray(v, path, into)
	default:
		d.decodeLiteral(v, path, into)
	}
}

// decodeObject decodes an object into a struct, whose json tags are the known keys.
func (d *Document) decodeObject(v *hujson.Value, path string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "must be an object")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, key, ok := d.fieldByKey(into, name)
		if ok {
			name = key
		}
		memberPath := joinPath(path, name)
		switch {
		case !ok && d.lenient:
			d.Warnings = append(d.Warnings, d.errorAt(m.Name.StartOffset, memberPath, "unknown key"))
		case !ok:
			d.addErrorAt(m.Name.StartOffset, memberPath, "unknown key; known are %s", strings.Join(keysOf(into.Type()), ", "))
		case seen[name]:
			d.addErrorAt(m.Name.StartOffset, memberPath, "stands twice")
		default:
			d.decodeValue(&m.Value, memberPath, field)
		}
		seen[name] = true
	}
}

// decodeArray decodes an array into a slice.
func (d *Document) decodeArray(v *hujson.Value, path string, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "must be an array")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	into.Set(out)
}

// decodeLiteral decodes a string, number or boolean.
func (d *Document) decodeLiteral(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "must be %s", kindName(into.Kind()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil || string(literal) == "null" {
		d.addErrorAt(v.StartOffset, path, "must be %s, is %s", kindName(into.Kind()), literal)
	}
}

// decodeDuration decodes text such as "250ms" into a Duration.
func (d *Document) decodeDuration(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addErrorAt(v.StartOffset, path, `must be a time with a unit, such as "250ms"`)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.addErrorAt(v.StartOffset, path, `must be a time with a unit, such as "250ms", is %s`, literal)
		return
	}
	into.SetInt(int64(parsed))
}

// decodeTime decodes text in the format of RFC 3339 into a time.Time.
func (d *Document) decodeTime(v *hujson.Value, path string, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, into.Addr().Interface()) != nil {
		d.addErrorAt(v.StartOffset, path, "must be a time such as \"2030-01-31T11:30:00+10:00\"")
	}
}

// standardJSON returns the value as JSON without comments, trailing commas and
// white space.
func standardJSON(v *hujson.Value) []byte {
	c := v.Clone()
	c.Standardize()
	c.Minimize()
	return c.Pack()
}

// syntaxError takes the position out of an error of hujson.Parse.
func syntaxError(err error) Error {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	e := Error{Line: 1, Column: 1, Message: text}
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &e.Line, &e.Column); n == 2 {
		_, e.Message, _ = strings.Cut(text, ": ")
	}
	return e
}

// fieldByKey returns the field of a struct for a key, and the field's own key.
func (d *Document) fieldByKey(into reflect.Value, name string) (field reflect.Value, key string, ok bool) {
	for i := range into.NumField() {
		key := keyOf(into.Type().Field(i))
		if key == name || d.lenient && strings.EqualFold(key, name) {
			return into.Field(i), key, true
		}
	}
	return reflect.Value{}, "", false
}

// keysOf returns the json keys of a struct type, in the order of its fields.
func keysOf(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = keyOf(t.Field(i))
	}
	return keys
}

// keyOf returns the json key of a field, by default its name.
func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return cmp.Or(key, f.Name)
}

// Keys returns the keys of a document's top-level object, or the error of its syntax. A
// document that isn't an object has none.
func Keys(source []byte) ([]string, error) {
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, Errors{syntaxError(err)}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, nil
	}
	var keys []string
	for i := range object.Members {
		keys = append(keys, object.Members[i].Name.Value.(hujson.Literal).String())
	}
	return keys, nil
}

// joinPath returns the path of the member name of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kindName names the values that a Go kind accepts, for error messages.
func kindName(k reflect.Kind) string {
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

// String returns the duration as text, such as "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return []byte(strconv.Quote(d.String())), nil }
