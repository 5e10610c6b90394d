// Package jsonc decodes JSON with comments into Go structs and reports all errors
// of a document together, each with its file, line and column.
package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Decode decodes data into out, a pointer to a struct. Settings that are not given
// get the value of their field's default tag. Unknown keys, values of the wrong
// type and the findings of out's Validator are all returned.
func Decode(file string, data []byte, out any) Findings {
	d := decoder{file: file, data: data, offsets: map[string]int{}}
	if at := excessDepthOffset(data); at >= 0 {
		d.add(at, "", fmt.Sprintf("nested deeper than %d levels", maxDepth))
		return d.findings
	}
	root, err := parse(data)
	if err != nil {
		d.syntax(err)
		return d.findings
	}
	applyDefaults(reflect.ValueOf(out).Elem())
	d.value("", root, reflect.ValueOf(out).Elem())
	if v, ok := out.(Validator); ok {
		v.Validate(func(path, message string) {
			// A value that could not be decoded is zero here. A finding that it
			// "must be set" would be a second one about the same error.
			if !d.reported(path) {
				d.add(d.position(path), path, message)
			}
		})
	}
	sort.SliceStable(d.findings, func(i, j int) bool {
		a, b := d.findings[i], d.findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return d.findings
}

// Relocate sets the file, line and column of findings from their paths in a
// document. out is a pointer to the document's type.
func Relocate(file string, data []byte, findings Findings, out any) Findings {
	d := decoder{file: file, data: data, offsets: map[string]int{}}
	if excessDepthOffset(data) >= 0 {
		return findings
	}
	root, err := parse(data)
	if err != nil {
		return findings
	}
	d.value("", root, reflect.ValueOf(out).Elem())
	d.findings = nil
	for _, f := range findings {
		d.add(d.position(f.Path), f.Path, f.Message)
	}
	return d.findings
}

// parse parses a document. The parser requires a line break after a comment at the
// end of the document, which editors may omit.
func parse(data []byte) (hujson.Value, error) {
	root, err := hujson.Parse(data)
	if err == nil {
		return root, nil
	}
	if root, retryErr := hujson.Parse(append(data[:len(data):len(data)], '\n')); retryErr == nil {
		return root, nil
	}
	return root, err
}

type decoder struct {
	file     string
	data     []byte
	offsets  map[string]int
	findings Findings
}

// syntax adds a parse error. hujson has the position only in the text of its error,
// so it is parsed from there.
func (d *decoder) syntax(err error) {
	var line, col int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &col); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	d.findings = append(d.findings, Finding{File: d.file, Line: max(line, 1), Column: max(col, 1), Message: text})
}

func (d *decoder) add(offset int, path, message string) {
	before := string(d.data[:min(offset, len(d.data))])
	line := strings.Count(before, "\n") + 1
	col := offset - strings.LastIndex(before, "\n")
	d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: col, Path: path, Message: message})
}

func (d *decoder) reported(path string) bool {
	return slices.ContainsFunc(d.findings, func(f Finding) bool { return f.Path == path })
}

// position returns the offset of a path, or of its nearest parent in the document.
func (d *decoder) position(path string) int {
	for path != "" {
		if at, ok := d.offsets[path]; ok {
			return at
		}
		cut := strings.LastIndex(path, ".")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return d.offsets[""]
}

func (d *decoder) value(path string, v hujson.Value, out reflect.Value) {
	d.offsets[path] = v.StartOffset
	if v.Value.Kind() == 'n' && !isRaw(out.Type()) {
		// encoding/json ignores null. A setting that seems to be switched off by
		// null would silently keep its default.
		d.add(v.StartOffset, path, "null is not a value; leave the setting out to get its default")
		return
	}
	if _, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.scalar(path, v, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, v, out)
	case reflect.Map:
		d.mapping(path, v, out)
	case reflect.Slice:
		if isRaw(out.Type()) {
			d.raw(v, out)
			return
		}
		d.list(path, v, out)
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		applyDefaults(out.Elem())
		d.value(path, v, out.Elem())
	default:
		d.scalar(path, v, out)
	}
}

func isRaw(t reflect.Type) bool { return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8 }

// raw sets a json.RawMessage to any JSON value, without its comments.
func (d *decoder) raw(v hujson.Value, out reflect.Value) {
	c := v.Clone()
	c.Standardize()
	c.Minimize()
	out.SetBytes(c.Pack())
}

func (d *decoder) scalar(path string, v hujson.Value, out reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.add(v.StartOffset, path, fmt.Sprintf("want %s, found %s", describe(out.Type()), kindOf(v)))
		return
	}
	err := json.Unmarshal(lit, out.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr) && v.Value.Kind() == '0':
		d.add(v.StartOffset, path, fmt.Sprintf("want %s, found %s", describe(out.Type()), lit))
	case errors.As(err, &typeErr):
		d.add(v.StartOffset, path, fmt.Sprintf("want %s, found %s", describe(out.Type()), kindOf(v)))
	default:
		d.add(v.StartOffset, path, err.Error())
	}
}

func (d *decoder) object(path string, v hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v.StartOffset, path, "want an object, found "+kindOf(v))
		return
	}
	fields := fieldsOf(out.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		sub := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.add(m.Name.StartOffset, sub, "unknown setting"+suggest(name, fields))
		case seen[name]:
			d.add(m.Name.StartOffset, sub, "given twice")
		default:
			d.value(sub, m.Value, out.Field(index))
		}
		seen[name] = true
	}
}

func (d *decoder) mapping(path string, v hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v.StartOffset, path, "want an object, found "+kindOf(v))
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name).Convert(out.Type().Key())
		if out.MapIndex(key).IsValid() {
			d.add(m.Name.StartOffset, join(path, name), "given twice")
			continue
		}
		elem := reflect.New(out.Type().Elem()).Elem()
		applyDefaults(elem)
		d.value(join(path, name), m.Value, elem)
		out.SetMapIndex(key, elem)
	}
}

func (d *decoder) list(path string, v hujson.Value, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(v.StartOffset, path, "want a list, found "+kindOf(v))
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		applyDefaults(out.Index(i))
		d.value(fmt.Sprintf("%s.%d", path, i), e, out.Index(i))
	}
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case 't', 'f':
		return "a boolean"
	case 'n':
		return "null"
	default:
		return "a number"
	}
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Int, reflect.Int64, reflect.Int32:
		switch t {
		case reflect.TypeFor[Duration]():
			return "a duration such as \"250ms\""
		case reflect.TypeFor[Bytes]():
			return "an amount of memory such as \"64MiB\""
		}
		return "a whole number"
	default:
		return "a number"
	}
}
