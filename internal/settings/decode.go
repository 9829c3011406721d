package settings

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"cassiawood/internal/suggest"
)

// decoder fills a struct from a hujson tree and collects a finding for each
// setting that is unknown, repeated or of the wrong type.
type decoder struct {
	file     string
	source   []byte
	findings []Finding
	offsets  map[string]int // byte offset of the value of each setting, by its path
}

// checker is a settings type that checks its own values. report takes the path
// of a setting, such as "members[0].linkAddress".
type checker interface {
	check(report func(path, problem string))
}

// load decodes and checks the settings in file. dst is a pointer to a struct with
// json tags. If the file can be read and parsed, all problems in it are returned
// together as a *FindingsError.
func load(file string, dst checker) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return decode(file, source, dst)
}

func decode(file string, source []byte, dst checker) error {
	tree, err := hujson.Parse(source)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	d := &decoder{file: file, source: source, offsets: map[string]int{}}
	d.decodeValue("", tree, reflect.ValueOf(dst).Elem())
	dst.check(func(path, problem string) { d.report(d.offsetOf(path), path, problem, "") })
	if len(d.findings) == 0 {
		return nil
	}
	sortFindings(d.findings)
	return &FindingsError{Findings: d.findings}
}

// offsetOf returns the offset of a setting, or of the closest enclosing one if the
// file does not contain it.
func (d *decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (d *decoder) report(offset int, path, problem, suggestion string) {
	before := string(d.source[:min(offset, len(d.source))])
	d.findings = append(d.findings, Finding{
		File:       d.file,
		Line:       strings.Count(before, "\n") + 1,
		Column:     len(before) - strings.LastIndex(before, "\n"),
		Path:       path,
		Problem:    problem,
		Suggestion: suggestion,
	})
}

func (d *decoder) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	if path != "" {
		d.offsets[path] = v.StartOffset
	}
	_, unmarshalsText := dst.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case unmarshalsText:
		d.decodeScalar(path, v, dst)
	case dst.Kind() == reflect.Struct:
		d.decodeObject(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeArray(path, v, dst)
	default:
		d.decodeScalar(path, v, dst)
	}
}

func (d *decoder) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v.StartOffset, path, "must be an object in braces", "")
		return
	}
	fields := fieldsByName(dst)
	seenNames := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		settingPath := joinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.report(member.Name.StartOffset, settingPath, "there is no such setting", suggest.Closest(name, slices.Collect(maps.Keys(fields))))
		case seenNames[name]:
			d.report(member.Name.StartOffset, settingPath, "is given twice", "")
		default:
			d.decodeValue(settingPath, member.Value, field)
		}
		seenNames[name] = true
	}
}

func (d *decoder) decodeArray(path string, v hujson.Value, dst reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v.StartOffset, path, "must be a list in square brackets", "")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, dst.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, v hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.report(v.StartOffset, path, "must be a single value", "")
		return
	}
	if err := json.Unmarshal(literal, dst.Addr().Interface()); err != nil {
		d.report(v.StartOffset, path, scalarProblem(err, dst), "")
	}
}

// scalarProblem describes why json.Unmarshal could not store a value in dst.
func scalarProblem(err error, dst reflect.Value) string {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err.Error()
	}
	expectedByKind := map[reflect.Kind]string{
		reflect.String: "a text in quotes", reflect.Bool: "true or false",
		reflect.Int: "a whole number", reflect.Uint64: "a whole number of 0 or more", reflect.Float64: "a number",
	}
	if expected, ok := expectedByKind[dst.Kind()]; ok {
		return fmt.Sprintf("must be %s, but is a %s", expected, mismatch.Value)
	}
	return err.Error()
}

// fieldsByName returns the fields of the struct v by their names in json tags.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
