// Package strict decodes JSON without letting a mistake pass.
//
// It reports every unknown field, doubled field and value of the wrong type in
// one go, each with its path, where encoding/json stops at the first.
//
// # Usage
//
//	var settings Settings
//	problems := strict.Decode(data, &settings)
//	if err := problems.Err(); err != nil {
//		return err
//	}
package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is one mistake in a document.
type Problem struct {
	// Path names the field, for example Routes.renew.Timeout.
	Path string
	// Message says what is wrong and what would be right.
	Message string
}

// Problems is every mistake found in a document.
type Problems []Problem

// Add appends a problem at path.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns all problems as one error, or nil where there is none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.Newf("%s", p.String())
}

// String returns a line for each problem.
func (p Problems) String() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.Path + ": " + x.Message
	}
	return strings.Join(lines, "\n")
}

// JoinPath appends the name of a field to a path.
func JoinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// Decode reads data into the value that target points to and returns what is wrong with it.
func Decode(data []byte, target any) (problems Problems) {
	var d decoder
	raw := json.RawMessage(data)
	if !json.Valid(data) {
		d.problems.Add("(document)", "%s", syntaxMessage(data))
		return d.problems
	}
	d.value("", raw, reflect.ValueOf(target).Elem())
	return d.problems
}

func syntaxMessage(data []byte) string {
	var v any
	err := json.Unmarshal(data, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d: %s", line, syntax.Error())
	}
	return fmt.Sprint(err)
}

type decoder struct{ problems Problems }

type member struct {
	name  string
	value json.RawMessage
}

func (d *decoder) value(path string, raw json.RawMessage, v reflect.Value) {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.leaf(path, raw, v)
		return
	}
	if string(bytes.TrimSpace(raw)) == "null" && nullable(v.Kind()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.pointer(path, raw, v)
	case reflect.Struct:
		d.structure(path, raw, v)
	case reflect.Map:
		d.mapping(path, raw, v)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes(raw)
			return
		}
		d.list(path, raw, v)
	default:
		d.leaf(path, raw, v)
	}
}

// nullable reports whether null stands for a value that is left out.
func nullable(k reflect.Kind) bool {
	return k == reflect.Pointer || k == reflect.Map || k == reflect.Slice
}

func (d *decoder) pointer(path string, raw json.RawMessage, v reflect.Value) {
	v.Set(reflect.New(v.Type().Elem()))
	d.value(path, raw, v.Elem())
}

func (d *decoder) structure(path string, raw json.RawMessage, v reflect.Value) {
	for _, m := range d.members(path, raw) {
		f := v.FieldByName(m.name)
		if !f.IsValid() || !f.CanSet() {
			d.problems.Add(JoinPath(path, m.name), "unknown field; known fields are %s", fieldNames(v.Type()))
			continue
		}
		d.value(JoinPath(path, m.name), m.value, f)
	}
}

func (d *decoder) mapping(path string, raw json.RawMessage, v reflect.Value) {
	out := reflect.MakeMap(v.Type())
	for _, m := range d.members(path, raw) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.value(JoinPath(path, m.name), m.value, elem)
		out.SetMapIndex(reflect.ValueOf(m.name).Convert(v.Type().Key()), elem)
	}
	v.Set(out)
}

func (d *decoder) list(path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.problems.Add(orDocument(path), "a list is wanted, not %s", kind(raw))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) leaf(path string, raw json.RawMessage, v reflect.Value) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	if err == nil {
		return
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		d.problems.Add(orDocument(path), "a %s is wanted, not %s", v.Type(), kind(raw))
		return
	}
	d.problems.Add(orDocument(path), "%s", err)
}

// members reads an object's fields in order, since a map would hide a doubled one.
func (d *decoder) members(path string, raw json.RawMessage) (out []member) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		d.problems.Add(orDocument(path), "an object is wanted, not %s", kind(raw))
		return nil
	}
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return out
		}
		m := member{name: token.(string)}
		if err := dec.Decode(&m.value); err != nil && !errors.Is(err, io.EOF) {
			return out
		}
		if seen[m.name] {
			d.problems.Add(JoinPath(path, m.name), "the field is given twice")
			continue
		}
		seen[m.name] = true
		out = append(out, m)
	}
	return out
}

func orDocument(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}

func kind(raw json.RawMessage) string {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return "nothing"
	}
	switch raw[0] {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "the text " + string(raw)
	default:
		return string(raw)
	}
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			names = append(names, t.Field(i).Name)
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
