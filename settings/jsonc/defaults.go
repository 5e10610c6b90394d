package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
)

// defaultTag is the struct tag with a setting's default, as it would be written in
// a file, but without the quotes of a string. The settings reference is generated
// from the same tag, so the two can't differ.
const defaultTag = "default"

// applyDefaults sets the fields of a struct, and of the structs in it, to their
// defaults.
func applyDefaults(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		text, ok := v.Type().Field(i).Tag.Lookup(defaultTag)
		if !ok {
			applyDefaults(v.Field(i))
			continue
		}
		if err := setText(v.Field(i), text); err != nil {
			// An invalid tag is a bug in the program, found by the first test that
			// decodes the type.
			panic(fmt.Sprintf("default of %s.%s: %v", v.Type(), v.Type().Field(i).Name, err))
		}
	}
}

func setText(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if v.Kind() == reflect.String {
		v.SetString(text)
		return nil
	}
	return json.Unmarshal([]byte(text), v.Addr().Interface())
}
