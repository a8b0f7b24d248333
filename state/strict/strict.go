// Package strict decodes JSON and reports all problems of a document.
//
// It reports every unknown field, duplicate field and value of the wrong type
// at once, each with its path. The package encoding/json stops at the first
// error and accepts duplicate fields.
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

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the field, such as Routes.renew.Timeout.
	Path string
	// Message says what is wrong and what is expected.
	Message string
}

// Problems lists all problems of a document.
type Problems []Problem

// Add appends a problem of the field at path.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns all problems as one error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.Newf("%s", p.String())
}

// String returns one line per problem.
func (p Problems) String() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Message
	}
	return strings.Join(lines, "\n")
}

// JoinPath appends a field name to a path.
func JoinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// Decode decodes JSON into the value that target points to and returns all problems.
func Decode(data []byte, target any) (problems Problems) {
	var d decoder
	raw := json.RawMessage(data)
	if !json.Valid(data) {
		d.problems.Add("(document)", "%s", syntaxMessage(data))
		return d.problems
	}
	d.decodeValue("", raw, reflect.ValueOf(target).Elem())
	return d.problems
}

// syntaxMessage returns the syntax error of invalid JSON with its line number.
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

// decoder decodes one document and collects its problems.
type decoder struct{ problems Problems }

// member is a name/value pair of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

func (d *decoder) decodeValue(path string, raw json.RawMessage, v reflect.Value) {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(path, raw, v)
		return
	}
	if string(bytes.TrimSpace(raw)) == "null" && acceptsNull(v.Kind()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.decodePointer(path, raw, v)
	case reflect.Struct:
		d.decodeStruct(path, raw, v)
	case reflect.Map:
		d.decodeMap(path, raw, v)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes(raw)
			return
		}
		d.decodeSlice(path, raw, v)
	default:
		d.decodeScalar(path, raw, v)
	}
}

// acceptsNull reports whether null is accepted for a value of this kind, with the same meaning as a missing field.
func acceptsNull(k reflect.Kind) bool {
	return k == reflect.Pointer || k == reflect.Map || k == reflect.Slice
}

func (d *decoder) decodePointer(path string, raw json.RawMessage, v reflect.Value) {
	v.Set(reflect.New(v.Type().Elem()))
	d.decodeValue(path, raw, v.Elem())
}

func (d *decoder) decodeStruct(path string, raw json.RawMessage, v reflect.Value) {
	for _, m := range d.members(path, raw) {
		f := v.FieldByName(m.name)
		if !f.IsValid() || !f.CanSet() {
			d.problems.Add(JoinPath(path, m.name), "unknown field; known fields are %s", fieldNames(v.Type()))
			continue
		}
		d.decodeValue(JoinPath(path, m.name), m.value, f)
	}
}

func (d *decoder) decodeMap(path string, raw json.RawMessage, v reflect.Value) {
	out := reflect.MakeMap(v.Type())
	for _, m := range d.members(path, raw) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(JoinPath(path, m.name), m.value, elem)
		out.SetMapIndex(reflect.ValueOf(m.name).Convert(v.Type().Key()), elem)
	}
	v.Set(out)
}

func (d *decoder) decodeSlice(path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.problems.Add(displayPath(path), "expected a list, got %s", describe(raw))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) decodeScalar(path string, raw json.RawMessage, v reflect.Value) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		d.problems.Add(displayPath(path), "expected %s, got %s", v.Type(), describe(raw))
		return
	}
	d.problems.Add(displayPath(path), "%s", err)
}

// members decodes an object's members in order. A map would drop duplicates without an error.
func (d *decoder) members(path string, raw json.RawMessage) (out []member) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		d.problems.Add(displayPath(path), "expected an object, got %s", describe(raw))
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

// displayPath returns the path for a message; the document itself has an empty path.
func displayPath(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}

// describe returns a short description of a JSON value for a message.
func describe(raw json.RawMessage) string {
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
		return "string " + string(raw)
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
