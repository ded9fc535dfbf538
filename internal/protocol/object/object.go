// Package object holds the messages of the platform's object API and VM list.
package object

import (
	"errors"
	"fmt"
	"strings"
)

// Paths and bounds of the protocol.
const (
	// ObjectsPath takes a key behind it.
	ObjectsPath = "/objects/"
	WatchPath   = "/watch"
	VMsPath     = "/vms"
	// MaxValueBytes bounds a value.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 256
)

// Object is a stored value. Version rises with each write and is never reused
// for a key.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// Check says whether o makes sense.
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

// Conflict is the body of a conditional write that did not take effect.
type Conflict struct {
	// Version is the present one; 0 if there is no object.
	Version int64
}

// VMState is what the VM list says of a VM.
type VMState string

// The states of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	Name string
	// Role is "entry" or "upstream".
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

// VMList is the body of the VM list.
type VMList struct {
	VMs []VM
}

// Check says whether l makes sense.
func (l *VMList) Check() error {
	for _, v := range l.VMs {
		if v.Name == "" || v.Address == "" {
			return errors.New("object: VM without name or address")
		}
	}
	return nil
}
