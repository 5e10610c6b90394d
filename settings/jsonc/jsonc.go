// Package jsonc decodes JSON with comments into Go structs and reports
// everything that is wrong at once, each finding with its file, line and
// column.
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

// Decode parses data into out, a pointer to a struct. Settings that are not
// given take the value of their field's default tag. Keys that out does not
// know, values of the wrong type and what out's Validator reports are all
// collected.
func Decode(file string, data []byte, out any) Findings {
	d := decoder{file: file, data: data, at: map[string]int{}}
	if at := tooDeep(data); at >= 0 {
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
			// A value that could not be read has its zero value here; that it
			// "must be set" would be a second finding about one mistake.
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

// Relocate gives findings the place of their path in a document, for findings
// that were made without it. out is a pointer to the document's type.
func Relocate(file string, data []byte, findings Findings, out any) Findings {
	d := decoder{file: file, data: data, at: map[string]int{}}
	if tooDeep(data) >= 0 {
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

// parse parses a document. The parser wants a line break after a comment at the
// end, which editors may leave out.
func parse(data []byte) (hujson.Value, error) {
	root, err := hujson.Parse(data)
	if err == nil {
		return root, nil
	}
	if root, again := hujson.Parse(append(data[:len(data):len(data)], '\n')); again == nil {
		return root, nil
	}
	return root, err
}

type decoder struct {
	file     string
	data     []byte
	at       map[string]int
	findings Findings
}

// syntax reports a parse error. hujson puts the place in the text of its
// error, so the place is read from there.
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

// position finds the place of a path, or of its nearest parent in the document.
func (d *decoder) position(path string) int {
	for path != "" {
		if at, ok := d.at[path]; ok {
			return at
		}
		cut := strings.LastIndex(path, ".")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return d.at[""]
}

func (d *decoder) value(path string, v hujson.Value, out reflect.Value) {
	d.at[path] = v.StartOffset
	if v.Value.Kind() == 'n' && !isRaw(out.Type()) {
		// encoding/json takes null for "leave as it is"; a setting that reads
		// as if it were switched off would keep its default unseen.
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

// raw keeps any JSON as it is, for a json.RawMessage.
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
