package configurer

import (
	"maps"
	"reflect"
	"slices"

	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// Ref names one object, as the path of its table: Services.drafting.
type Ref string

const transfersRef Ref = "Transfers"

// table is one of the maps of Objects, whatever its types are.
type table interface {
	// refs returns the objects of the map in order.
	refs(o *Objects) []Ref
	// copy takes the object from one map to the other and reports whether it exists.
	copy(ref Ref, from, to *Objects) bool
	remove(ref Ref, o *Objects)
	equal(ref Ref, a, b *Objects) bool
	clone(o *Objects)
}

type tableOf[K ~string, V any] struct {
	name string
	of   func(*Objects) *map[K]V
}

// tables are the maps of Objects by their names.
var tables = map[string]table{
	"Organisations": tableOf[identifier.Organisation, Organisation]{"Organisations",
		func(o *Objects) *map[identifier.Organisation]Organisation { return &o.Organisations }},
	"Operators": tableOf[identifier.Operator, Operator]{"Operators",
		func(o *Objects) *map[identifier.Operator]Operator { return &o.Operators }},
	"Models": tableOf[identifier.Model, Model]{"Models",
		func(o *Objects) *map[identifier.Model]Model { return &o.Models }},
	"Adapters": tableOf[identifier.Adapter, Adapter]{"Adapters",
		func(o *Objects) *map[identifier.Adapter]Adapter { return &o.Adapters }},
	"Services": tableOf[identifier.Service, Service]{"Services",
		func(o *Objects) *map[identifier.Service]Service { return &o.Services }},
}

func (t tableOf[K, V]) refs(o *Objects) []Ref {
	var refs []Ref
	for _, name := range slices.Sorted(maps.Keys(*t.of(o))) {
		refs = append(refs, refOf(t.name, string(name)))
	}
	return refs
}

func (t tableOf[K, V]) copy(ref Ref, from, to *Objects) bool {
	value, ok := (*t.of(from))[K(ref.name())]
	if !ok {
		return false
	}
	target := t.of(to)
	if *target == nil {
		*target = make(map[K]V)
	}
	(*target)[K(ref.name())] = value
	return true
}

func (t tableOf[K, V]) remove(ref Ref, o *Objects) {
	objects := t.of(o)
	delete(*objects, K(ref.name()))
	if len(*objects) == 0 {
		*objects = nil // one form for "none"
	}
}

func (t tableOf[K, V]) equal(ref Ref, a, b *Objects) bool {
	x, inA := (*t.of(a))[K(ref.name())]
	y, inB := (*t.of(b))[K(ref.name())]
	return inA == inB && reflect.DeepEqual(x, y)
}

func (t tableOf[K, V]) clone(o *Objects) {
	*t.of(o) = maps.Clone(*t.of(o))
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

// table returns the map of the object, or nil for Transfers and for a malformed
// reference.
func (r Ref) table() table {
	name, _ := r.split()
	return tables[name]
}

// refs returns every object in order.
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

// pick returns those of the objects that exist.
func (o *Objects) pick(refs []Ref) Objects {
	var picked Objects
	for _, ref := range refs {
		o.copyTo(&picked, ref)
	}
	return picked
}

func (o *Objects) remove(ref Ref) {
	if t := ref.table(); t != nil {
		t.remove(ref, o)
	}
}

// equalAt reports whether both hold the same object, or both hold none.
func (o *Objects) equalAt(other *Objects, ref Ref) bool {
	if ref == transfersRef {
		return o.Transfers == other.Transfers
	}
	t := ref.table()
	return t == nil || t.equal(ref, o, other)
}

// clone returns a copy whose maps may be written to.
func (o *Objects) clone() Objects {
	copied := *o
	for _, t := range tables {
		t.clone(&copied)
	}
	return copied
}
