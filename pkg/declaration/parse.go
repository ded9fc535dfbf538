package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is a TOML file.
type File struct {
	Name string
	Text []byte
}

// Fault is an error in a file or in a set.
type Fault struct {
	// File and Line locate the fault; Line is 0 if it is unknown.
	File string
	Line int
	// Path is the field, such as Models[0].Layers.
	Path string
	// Message describes the fault.
	Message string
}

// String returns the fault in the form file:line: path: message.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Message)
	return b.String()
}

// origin is the file that declares an object and the index of the object among
// those of its kind in that file.
type origin struct {
	file  *File
	index int
}

// Parse decodes files, merges them and checks the whole set. If a file can't be
// decoded, only the faults of decoding are returned. The set is valid only if there
// are no faults.
func Parse(files []File) (Set, []Fault) {
	var (
		set     Set
		faults  []Fault
		origins = make(map[string][]origin)
	)
	for i := range files {
		part, fileFaults := decodeFile(&files[i])
		faults = append(faults, fileFaults...)
		merge(&set, part, &files[i], origins)
	}
	if len(faults) > 0 {
		return set, faults
	}
	for _, f := range set.Check() {
		faults = append(faults, locate(f, origins))
	}
	return set, faults
}

func decodeFile(file *File) (Set, []Fault) {
	var part Set
	faults := DecodeStrict(*file, &part)
	return part, faults
}

// tomlFaults converts an error of the TOML library to faults with lines.
func tomlFaults(name string, err error) []Fault {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]Fault, 0, len(strict.Errors))
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			faults = append(faults, Fault{name, row, strings.Join(strict.Errors[i].Key(), "."), "unknown key"})
		}
		return faults
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return []Fault{{name, row, strings.Join(decode.Key(), "."), decode.Error()}}
	}
	return []Fault{{File: name, Message: err.Error()}}
}

// DecodeStrict decodes a single TOML file into v and returns its faults, which
// include unknown keys. It also decodes other formats, such as the settings of a
// process.
func DecodeStrict(file File, v any) []Fault {
	decode := func(text []byte, v any) error {
		return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	}
	err := decode(file.Text, v)
	faults := tomlFaults(file.Name, err)
	if len(faults) == 1 && faults[0].Line == 0 {
		decodeNew := func(text []byte) error { return decode(text, reflect.New(reflect.TypeOf(v).Elem()).Interface()) }
		faults[0].Line = lineOfError(file.Text, err, decodeNew)
	}
	return faults
}

// lineOfError returns the line of an error for which the TOML library reports no
// line: the first line for which decoding the text up to it returns that error.
func lineOfError(text []byte, err error, decode func(text []byte) error) int {
	lines := bytes.SplitAfter(text, []byte("\n"))
	return 1 + sort.Search(len(lines)-1, func(i int) bool {
		got := decode(bytes.Join(lines[:i+1], nil))
		return got != nil && got.Error() == err.Error()
	})
}

// merge appends the objects of part, which was decoded from file, to set and adds
// their origins.
func merge(set *Set, part Set, file *File, origins map[string][]origin) {
	target := reflect.ValueOf(set).Elem()
	source := reflect.ValueOf(part)
	for i := range target.NumField() {
		kind := target.Type().Field(i).Name
		objects := source.Field(i)
		for j := range objects.Len() {
			origins[kind] = append(origins[kind], origin{file, j})
		}
		target.Field(i).Set(reflect.AppendSlice(target.Field(i), objects))
	}
}

// locate sets the file and line of a fault whose path starts with Kind[index].
func locate(f Fault, origins map[string][]origin) Fault {
	kind, rest, ok := strings.Cut(f.Path, "[")
	if !ok {
		return f
	}
	var index int
	if _, err := fmt.Sscanf(rest, "%d]", &index); err != nil || index >= len(origins[kind]) {
		return f
	}
	o := origins[kind][index]
	f.File = o.file.Name
	_, field, _ := strings.Cut(rest, "].")
	field, _, _ = strings.Cut(field, "[")
	f.Line = LineOf(o.file.Text, "[["+kind+"]]", o.index, field)
	return f
}

// LineOf returns the line number, counted from 1, of the key field below the
// occurrence of header with the given index, counted from 0. It returns the line of
// the header if the key is absent, and 0 if there is no such header.
func LineOf(text []byte, header string, index int, field string) int {
	found := 0
	headerLine := 0
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, header) {
			found++
			if found == index+1 {
				headerLine = i + 1
				continue
			}
		}
		if headerLine == 0 {
			continue
		}
		if strings.HasPrefix(line, "[") && !strings.HasPrefix(line, strings.TrimRight(header, "]")+".") {
			break
		}
		key, _, assigned := strings.Cut(line, "=")
		if assigned && field != "" && strings.TrimSpace(key) == field {
			return i + 1
		}
	}
	return headerLine
}

// Format returns the set as TOML.
func Format(set Set) ([]byte, error) { return toml.Marshal(set) }
