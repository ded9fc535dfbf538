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

// Bounds of the stored form.
const (
	// objectsPerShard is the mean count of objects in a shard.
	objectsPerShard = 128
	// maxShards bounds the shards of a head.
	maxShards = 8192
	// maxChanges is how many past changes a head names.
	maxChanges = 128
)

// Change is an accepted change.
type Change struct {
	ID         string
	Generation int64
	Operator   string
}

// Head names the shards of a generation and the last changes.
type Head struct {
	Generation int64
	Shards     []string
	// Changes are the last ones, the newest last.
	Changes []Change
	// Nonce makes each written head unlike all others.
	Nonce string
}

// Check says whether h makes sense.
func (h *Head) Check() error {
	if h.Generation < 0 || len(h.Shards) > maxShards || len(h.Changes) > maxChanges {
		return fmt.Errorf("configuration: bad head of generation %d", h.Generation)
	}
	return nil
}

// Find returns the accepted change of an ID.
func (h *Head) Find(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// DecodeHead reads a stored head.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return h, fmt.Errorf("configuration: head: %w", err)
	}
	return h, h.Check()
}

// Shard is a part of a set, named by the hash of its text.
type Shard struct {
	Name string
	Text []byte
}

// newShard returns the shard that holds text.
func newShard(text []byte) Shard {
	sum := sha256.Sum256(text)
	return Shard{Name: hex.EncodeToString(sum[:16]), Text: text}
}

// Check says whether the shard's name fits its text.
func (s *Shard) Check() error {
	if newShard(s.Text).Name != s.Name {
		return fmt.Errorf("configuration: shard %q does not hold what its name says", s.Name)
	}
	return nil
}

// Split spreads a set over shards. A change of one object changes one shard,
// as long as the count of objects of its kind stays within a power of two.
func Split(set declaration.Set) ([]Shard, error) {
	var shards []Shard
	whole := reflect.ValueOf(set)
	for i := range whole.NumField() {
		parts, err := splitKind(whole.Field(i), i)
		if err != nil {
			return nil, err
		}
		shards = append(shards, parts...)
	}
	return shards, nil
}

func splitKind(objects reflect.Value, field int) ([]Shard, error) {
	buckets := 1
	for buckets*objectsPerShard < objects.Len() {
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

// objectName returns what tells an object from others of its kind.
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

// Join rebuilds a set from its shards and checks it.
func Join(shards []Shard) (declaration.Set, error) {
	var set declaration.Set
	whole := reflect.ValueOf(&set).Elem()
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
		piece := reflect.ValueOf(part)
		for j := range whole.NumField() {
			whole.Field(j).Set(reflect.AppendSlice(whole.Field(j), piece.Field(j)))
		}
	}
	for j := range whole.NumField() {
		sortByName(whole.Field(j))
	}
	if faults := set.Check(); len(faults) > 0 {
		return set, errors.New("configuration: " + faults[0].String())
	}
	return set, nil
}

// Difference is one object that differs between two sets.
type Difference struct {
	Kind   string
	Name   string
	Action string
}

// Diff lists the objects that differ between two sets.
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
		was, ok := old[name]
		delete(old, name)
		switch {
		case !ok:
			all = append(all, Difference{kind, name, "add"})
		case !sameObject(was, after.Index(i).Interface()):
			all = append(all, Difference{kind, name, "change"})
		}
	}
	for name := range old {
		all = append(all, Difference{kind, name, "remove"})
	}
	slices.SortFunc(all, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// sameObject compares by the stored form.
func sameObject(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
