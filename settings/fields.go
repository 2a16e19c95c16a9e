package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Field describes one key of the settings.
type Field struct {
	Key      string // including parent keys, as in tls.off
	Type     string
	Unit     string
	Doc      string
	Optional bool
	HasRange bool // whether Default, Min and Max are set
	Default  int64
	Min, Max int64

	index []int
}

// Fields returns all keys of Settings in declaration order.
func Fields() []Field { return structFields(reflect.TypeFor[Settings](), "", nil) }

func structFields(t reflect.Type, prefix string, index []int) []Field {
	var out []Field
	for i := range t.NumField() {
		sf := t.Field(i)
		f := Field{
			Key: prefix + sf.Tag.Get("json"), Type: typeName(sf.Type), Unit: sf.Tag.Get("unit"),
			Doc: sf.Tag.Get("doc"), Optional: sf.Tag.Get("optional") != "", index: append(append([]int(nil), index...), i),
		}
		if sf.Type.Kind() == reflect.Int64 {
			f.HasRange = true
			f.Default, f.Min, f.Max = intTag(sf, "default"), intTag(sf, "min"), intTag(sf, "max")
		}
		out = append(out, f)
		if sf.Type.Kind() == reflect.Struct {
			out = append(out, structFields(sf.Type, f.Key+".", f.index)...)
		}
	}
	return out
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int64:
		return "number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "list of strings"
	case reflect.Struct:
		return "object"
	}
	return "string"
}

func intTag(sf reflect.StructField, tag string) int64 {
	n, err := strconv.ParseInt(sf.Tag.Get(tag), 10, 64)
	if err != nil {
		panic(fmt.Sprintf("tag %s of settings.%s: %v", tag, sf.Name, err)) // invalid struct tag
	}
	return n
}

// Defaults returns Settings with all default values set.
func Defaults() Settings {
	var s Settings
	for _, f := range Fields() {
		if f.HasRange {
			reflect.ValueOf(&s).Elem().FieldByIndex(f.index).SetInt(f.Default)
		}
	}
	return s
}

func (s *Settings) checkRanges() []error {
	var errs []error
	for _, f := range Fields() {
		if !f.HasRange {
			continue
		}
		if v := reflect.ValueOf(s).Elem().FieldByIndex(f.index).Int(); v < f.Min || v > f.Max {
			errs = append(errs, fmt.Errorf("%s is %d, outside the range %d to %d %s; the default is %d", f.Key, v, f.Min, f.Max, f.Unit, f.Default))
		}
	}
	return errs
}

// Markdown returns the reference page of the settings, docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the tags in settings/settings.go with `go generate ./settings`. The file is JSON with comments; `--check` checks it and exits.\n\n")
	b.WriteString("| Key | Type | Unit | Default | Limits | Meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range Fields() {
		def, limits := "required", ""
		if f.Optional || f.Type == "object" {
			def = "none"
		}
		if f.HasRange {
			def, limits = strconv.FormatInt(f.Default, 10), fmt.Sprintf("%d to %d", f.Min, f.Max)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.Key, f.Type, f.Unit, def, limits, f.Doc)
	}
	b.WriteString(forwardingSettings)
	return b.String()
}

// forwardingSettings is the part of the reference page about the optional settings of forwarding
// entries, which package gateway reads.
const forwardingSettings = `
## Forwarding entries

` + "`galenaweir-entry forward` reads another file, described by the type Settings in gateway/settings.go. Its optional settings:" + `

| Key | Type | Unit | Default | Limits | Meaning |
| --- | --- | --- | --- | --- | --- |
` + "| `heldBytesMb` | number | MB | 0 (off) | 0 to half of `memoryMb` | bound on request bodies, buffered responses and unwritten events of all requests together; one connection gets a quarter of it, so at least eight times `maxBodyBytes` of the configuration lets all bodies in (a body counts twice) |\n"
