package configuration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovageport.example/pkg/declaration"
)

// Limits of the stored configuration.
const (
	// maxMeanShardObjects bounds the mean number of objects per shard of a
	// kind.
	maxMeanShardObjects = 128
	// maxShards bounds the number of shards of a head.
	maxShards = 8192
	// maxChanges bounds the number of past changes that a head lists.
	maxChanges = 128
)

// Change is an accepted change of the configuration.
type Change struct {
	ID         string
	Generation int64
	Operator   string
}

// Head lists the shards of a generation and the most recent changes.
type Head struct {
	Generation int64
	Shards     []string
	// Changes are the most recent changes, oldest first. They make applying a
	// change idempotent by its ID.
	Changes []Change
	// Nonce makes each written head unique, so that its writer can recognize
	// its own write.
	Nonce string
}

// Check returns an error if the generation is negative or a limit is exceeded.
func (h *Head) Check() error {
	if h.Generation < 0 || len(h.Shards) > maxShards || len(h.Changes) > maxChanges {
		return fmt.Errorf("configuration: bad head of generation %d", h.Generation)
	}
	return nil
}

// FindChange returns the accepted change with an ID. It returns false if the
// head lists none.
func (h *Head) FindChange(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// DecodeHead decodes and checks a stored head.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return h, fmt.Errorf("configuration: head: %w", err)
	}
	return h, h.Check()
}

// Shard is a part of a set as JSON text. Its name is a hash of the text.
type Shard struct {
	Name string
	Text []byte
}

// newShard returns the shard that holds text.
func newShard(text []byte) Shard {
	sum := sha256.Sum256(text)
	return Shard{Name: hex.EncodeToString(sum[:16]), Text: text}
}

// Check returns an error if the shard's name is not the hash of its text.
func (s *Shard) Check() error {
	if newShard(s.Text).Name != s.Name {
		return fmt.Errorf("configuration: shard %q does not hold what its name says", s.Name)
	}
	return nil
}

// Split divides a set into shards. Changing, adding or removing one object
// changes one shard, unless the number of shards of its kind doubles or halves.
func Split(set declaration.Set) ([]Shard, error) {
	var shards []Shard
	fields := reflect.ValueOf(set)
	for i := range fields.NumField() {
		parts, err := splitKind(fields.Field(i), i)
		if err != nil {
			return nil, err
		}
		shards = append(shards, parts...)
	}
	return shards, nil
}

func splitKind(objects reflect.Value, field int) ([]Shard, error) {
	buckets := 1
	for buckets*maxMeanShardObjects < objects.Len() {
		buckets *= 2
	}
	parts := make([]declaration.Set, buckets)
	for j := range objects.Len() {
		bucket := xxhash.Sum64String(objectName(objects.Index(j))) % uint64(buckets)
		part := reflect.ValueOf(&parts[bucket]).Elem().Field(field)
		part.Set(reflect.Append(part, objects.Index(j)))
	}
	var shards []Shard
	for _, part := range parts {
		if reflect.ValueOf(part).IsZero() {
			continue
		}
		sortByName(reflect.ValueOf(&part).Elem().Field(field))
		text, err := json.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		shards = append(shards, newShard(text))
	}
	return shards, nil
}

// objectName returns the key that identifies an object within its kind.
func objectName(object reflect.Value) string {
	if name := object.FieldByName("Name"); name.IsValid() {
		return name.String()
	}
	return object.FieldByName("From").String() + " " + object.FieldByName("To").String()
}

func sortByName(objects reflect.Value) {
	items := make([]reflect.Value, objects.Len())
	for i := range items {
		items[i] = reflect.New(objects.Type().Elem()).Elem()
		items[i].Set(objects.Index(i))
	}
	slices.SortFunc(items, func(a, b reflect.Value) int { return cmp.Compare(objectName(a), objectName(b)) })
	for i, item := range items {
		objects.Index(i).Set(item)
	}
}

// Join rebuilds a set from its shards and checks the set.
func Join(shards []Shard) (declaration.Set, error) {
	var set declaration.Set
	fields := reflect.ValueOf(&set).Elem()
	for i := range shards {
		if err := shards[i].Check(); err != nil {
			return set, err
		}
		var part declaration.Set
		decoder := json.NewDecoder(bytes.NewReader(shards[i].Text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&part); err != nil {
			return set, fmt.Errorf("configuration: shard %s: %w", shards[i].Name, err)
		}
		partFields := reflect.ValueOf(part)
		for j := range fields.NumField() {
			fields.Field(j).Set(reflect.AppendSlice(fields.Field(j), partFields.Field(j)))
		}
	}
	for j := range fields.NumField() {
		sortByName(fields.Field(j))
	}
	if faults := set.Check(); len(faults) > 0 {
		return set, errors.New("configuration: " + faults[0].String())
	}
	return set, nil
}

// Difference is one object that differs between two sets. Action is "add",
// "change" or "remove".
type Difference struct {
	Kind   string
	Name   string
	Action string
}

// Diff returns the objects that differ between two sets, by kind and name.
func Diff(from, to declaration.Set) []Difference {
	var all []Difference
	before, after := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range before.NumField() {
		kind := before.Type().Field(i).Name
		all = append(all, diffKind(kind, before.Field(i), after.Field(i))...)
	}
	return all
}

func diffKind(kind string, before, after reflect.Value) []Difference {
	var all []Difference
	old := make(map[string]any)
	for i := range before.Len() {
		old[objectName(before.Index(i))] = before.Index(i).Interface()
	}
	for i := range after.Len() {
		name := objectName(after.Index(i))
		oldObject, ok := old[name]
		delete(old, name)
		switch {
		case !ok:
			all = append(all, Difference{kind, name, "add"})
		case !equalObjects(oldObject, after.Index(i).Interface()):
			all = append(all, Difference{kind, name, "change"})
		}
	}
	for name := range old {
		all = append(all, Difference{kind, name, "remove"})
	}
	slices.SortFunc(all, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// equalObjects reports whether two objects have the same JSON encoding.
func equalObjects(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
