// Package object defines the messages of the platform's object API and VM list.
package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"lovageport.example/internal/protocol/jsontext"
)

// Paths and limits of the protocol.
const (
	// ObjectsPath is the path of an object, without its key.
	ObjectsPath = "/objects/"
	WatchPath   = "/watch"
	VMsPath     = "/vms"
	// MaxValueBytes bounds the size of a value.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes bounds the length of a key.
	MaxKeyBytes = 256
)

// Object is a stored value. Version increases with each write of a key and is
// never reused for it.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// Check returns an error if the key is invalid, the version is not positive, or
// the value is too large.
func (o *Object) Check() error {
	switch {
	case o.Key == "" || len(o.Key) > MaxKeyBytes || strings.ContainsAny(o.Key, "?#\n"):
		return fmt.Errorf("object: bad key %q", o.Key)
	case o.Version <= 0:
		return fmt.Errorf("object: %s: version %d", o.Key, o.Version)
	case len(o.Value) > MaxValueBytes:
		return fmt.Errorf("object: %s: value of %d bytes", o.Key, len(o.Value))
	}
	return nil
}

// Conflict is the body of the answer to a conditional write that did not take
// effect.
type Conflict struct {
	// Version is the current version of the object; 0 if it does not exist.
	Version int64
}

// VMState is the state of a VM in the VM list.
type VMState string

// The states of VMs.
const (
	Live VMState = "live"
	// Leaving VMs are about to be removed.
	Leaving VMState = "leaving"
)

// VM is one VM of the VM list.
type VM struct {
	Name string
	// Role is RoleEntry or RoleUpstream.
	Role    string
	Zone    string
	Address string
	State   VMState
}

// The roles of VMs.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Check returns an error if the VM has no name or no address.
func (v *VM) Check() error {
	if v.Name == "" || v.Address == "" {
		return errors.New("object: VM without name or address")
	}
	return nil
}

// VMList is the answer to a request for the VM list.
type VMList struct {
	VMs []VM
	// Malformed is the number of entries that were left out because they could not
	// be decoded.
	Malformed int `json:"-"`
}

// Decode decodes the text of a list. Entries that describe no VM are left out; the
// others hold.
func (l *VMList) Decode(text []byte) error {
	*l = VMList{}
	err := json.Unmarshal(text, l)
	if object, ok := jsontext.Parse(text); ok && jsontext.IsOddEntry(err) {
		l.decodeApart(object.Entries("VMs"))
		err = nil
	}
	whole := len(l.VMs)
	l.VMs = slices.DeleteFunc(l.VMs, func(v VM) bool { return v.Check() != nil })
	l.Malformed += whole - len(l.VMs)
	return err
}

// decodeApart decodes the entries of a list one by one.
func (l *VMList) decodeApart(entries []jsontext.Object) {
	l.VMs = nil
	for _, entry := range entries {
		var v VM
		if json.Unmarshal(entry.Text(), &v) != nil {
			l.Malformed++
			continue
		}
		l.VMs = append(l.VMs, v)
	}
}
