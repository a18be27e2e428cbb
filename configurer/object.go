package configurer

import (
	"maps"
	"reflect"
	"slices"

	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// Ref refers to one object by the path of its table, such as Services.drafting.
type Ref string

const transfersRef Ref = "Transfers"

// table gives access to one of the maps of Objects independently of its types.
type table interface {
	// refs returns the references of the objects in the map, sorted.
	refs(o *Objects) []Ref
	// copy copies the object from one map to the other and reports whether it
	// exists.
	copy(ref Ref, from, to *Objects) bool
	remove(ref Ref, o *Objects)
	equal(ref Ref, a, b *Objects) bool
	clone(o *Objects)
}

type typedTable[K ~string, V any] struct {
	name  string
	mapOf func(*Objects) *map[K]V
}

// tables holds a table for each map of Objects, by the name of the map.
var tables = map[string]table{
	"Organisations": typedTable[identifier.Organisation, Organisation]{"Organisations",
		func(o *Objects) *map[identifier.Organisation]Organisation { return &o.Organisations }},
	"Operators": typedTable[identifier.Operator, Operator]{"Operators",
		func(o *Objects) *map[identifier.Operator]Operator { return &o.Operators }},
	"Models": typedTable[identifier.Model, Model]{"Models",
		func(o *Objects) *map[identifier.Model]Model { return &o.Models }},
	"Adapters": typedTable[identifier.Adapter, Adapter]{"Adapters",
		func(o *Objects) *map[identifier.Adapter]Adapter { return &o.Adapters }},
	"Services": typedTable[identifier.Service, Service]{"Services",
		func(o *Objects) *map[identifier.Service]Service { return &o.Services }},
}

func (t typedTable[K, V]) refs(o *Objects) []Ref {
	var refs []Ref
	for _, name := range slices.Sorted(maps.Keys(*t.mapOf(o))) {
		refs = append(refs, refOf(t.name, string(name)))
	}
	return refs
}

func (t typedTable[K, V]) copy(ref Ref, from, to *Objects) bool {
	value, ok := (*t.mapOf(from))[K(ref.name())]
	if !ok {
		return false
	}
	target := t.mapOf(to)
	if *target == nil {
		*target = make(map[K]V)
	}
	(*target)[K(ref.name())] = value
	return true
}

func (t typedTable[K, V]) remove(ref Ref, o *Objects) {
	objects := t.mapOf(o)
	delete(*objects, K(ref.name()))
	if len(*objects) == 0 {
		*objects = nil // an empty map is always nil
	}
}

func (t typedTable[K, V]) equal(ref Ref, a, b *Objects) bool {
	x, inA := (*t.mapOf(a))[K(ref.name())]
	y, inB := (*t.mapOf(b))[K(ref.name())]
	return inA == inB && reflect.DeepEqual(x, y)
}

func (t typedTable[K, V]) clone(o *Objects) {
	*t.mapOf(o) = maps.Clone(*t.mapOf(o))
}

func refOf(table, name string) Ref {
	return Ref(parser.JoinPath(table, name))
}

// split returns the table and the name of the object. Both are empty for a
// malformed reference.
func (r Ref) split() (table, name string) {
	keys, err := parser.Path(r).Keys()
	if err != nil || len(keys) != 2 {
		return "", ""
	}
	return keys[0], keys[1]
}

func (r Ref) name() string {
	_, name := r.split()
	return name
}

// table returns the table of the object, or nil for Transfers and for a
// malformed reference.
func (r Ref) table() table {
	name, _ := r.split()
	return tables[name]
}

// refs returns the references of all objects, sorted.
func (o *Objects) refs() []Ref {
	refs := []Ref{transfersRef}
	for _, t := range tables {
		refs = append(refs, t.refs(o)...)
	}
	slices.Sort(refs)
	return refs
}

// copyTo copies the object and reports whether it exists.
func (o *Objects) copyTo(to *Objects, ref Ref) bool {
	if ref == transfersRef {
		to.Transfers = o.Transfers
		return true
	}
	t := ref.table()
	return t != nil && t.copy(ref, o, to)
}

// subset returns those of the referenced objects that exist.
func (o *Objects) subset(refs []Ref) Objects {
	var subset Objects
	for _, ref := range refs {
		o.copyTo(&subset, ref)
	}
	return subset
}

func (o *Objects) remove(ref Ref) {
	if t := ref.table(); t != nil {
		t.remove(ref, o)
	}
}

// equalAt reports whether the object is equal in both or missing from both.
func (o *Objects) equalAt(other *Objects, ref Ref) bool {
	if ref == transfersRef {
		return o.Transfers == other.Transfers
	}
	t := ref.table()
	return t == nil || t.equal(ref, o, other)
}

// clone returns a copy whose maps may be written to.
func (o *Objects) clone() Objects {
	cloned := *o
	for _, t := range tables {
		t.clone(&cloned)
	}
	return cloned
}
