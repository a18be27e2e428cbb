package configurer

import (
	"fmt"
	"maps"
	"slices"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// MaximumPatch is the largest patch file, in bytes. The TOML library takes time
// with the square of the keys of one table, and every replica reads the patch.
const MaximumPatch identifier.ByteCount = 64 << 10

// MaximumConfiguration is the largest configuration, printed, in bytes. It keeps
// every message and frame that carries one within the encoder's limit.
const MaximumConfiguration identifier.ByteCount = 2 << 20

// Patch is a change to one version of the configuration. Its source is kept as
// it was written: what it sets is read over the objects of its base, field by
// field, and faults bear the positions of the file.
type Patch struct {
	ID       identifier.PatchID
	Base     identifier.ConfigurationVersion
	Operator identifier.Operator
	File     string
	Source   []byte
}

// Digest is equal for a patch and its resends.
func (p Patch) Digest() identifier.Digest {
	return identifier.DigestOf(fmt.Appendf(nil, "%d\n%s", p.Base, p.Source))
}

// patchFile is the layout of a patch file. ID and Base may be given otherwise.
type patchFile struct {
	ID     identifier.PatchID              `help:"name of the patch, the same in a resend; made up unless given"`
	Base   identifier.ConfigurationVersion `help:"version that the patch was made against"`
	Remove []parser.Path                   `help:"paths of objects, and of entries of their tables, that are removed before the rest is set"`
	Objects
}

// Reference returns a table of every key of a patch file, in Markdown.
func Reference() []byte {
	return parser.Reference(patchFile{Objects: New().Objects})
}

// ParsePatch reads a patch file and checks its form. Apply checks it against the
// configuration. The error lists every fault.
func ParsePatch(file string, data []byte) (Patch, error) {
	if identifier.ByteCount(len(data)) > MaximumPatch {
		return Patch{}, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("patch is larger than %s", parser.FormatSize(MaximumPatch)), "split it")
	}
	content, doc, err := parser.Decode[patchFile](file, data)
	if err != nil {
		return Patch{}, err
	}
	var faults explainer.Faults
	for i, path := range content.Remove {
		if _, err := path.Keys(); err != nil {
			faults.Add(doc.Fault(parser.Path("Remove").Index(i), err.Error(), `write a path such as "Services.drafting"`))
		}
	}
	return Patch{ID: content.ID, Base: content.Base, File: file, Source: data}, faults.Err()
}

// Apply returns the configuration after the patch, one version on. A patch
// against another version is a Conflict. The result is checked whole, and the
// error lists every fault.
func Apply(c Configuration, patch Patch) (Configuration, error) {
	if patch.Base != c.Version {
		return c, explainer.New(explainer.Conflict,
			fmt.Sprintf("base %d is not the current version %d", patch.Base, c.Version),
			"read the changes since the base and submit the patch against the current version")
	}
	if identifier.ByteCount(len(patch.Source)) > MaximumPatch {
		return c, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("patch is larger than %s", parser.FormatSize(MaximumPatch)), "split it")
	}
	var faults explainer.Faults
	objects, doc := patchObjects(c, patch, &faults)
	check(c.Objects, objects, doc, &faults)
	if err := faults.Err(); err != nil {
		return c, err
	}
	next := c.next(objects)
	if next.Size > MaximumConfiguration {
		return c, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("configuration would be larger than %s", parser.FormatSize(MaximumConfiguration)), "remove what isn't used")
	}
	return next, nil
}

// patchObjects removes first and sets then, so that one patch can replace an object.
func patchObjects(c Configuration, patch Patch, faults *explainer.Faults) (Objects, *parser.Document) {
	var probe patchFile
	doc := parser.Parse(patch.File, patch.Source, faults)
	parser.Fill(doc, &probe, &explainer.Faults{}) // its faults show again below
	if doc.Has("Base") && probe.Base != patch.Base {
		faults.Add(doc.Fault("Base", fmt.Sprintf("patch was submitted against version %d", patch.Base), "name one base"))
	}
	if doc.Has("ID") && probe.ID != patch.ID {
		faults.Add(doc.Fault("ID", fmt.Sprintf("patch was submitted as %q", patch.ID), "name one ID"))
	}
	content := patchFile{Objects: c.clone()}
	for i, path := range probe.Remove {
		if err := removePath(&content.Objects, path); err != nil {
			faults.Add(doc.Fault(parser.Path("Remove").Index(i), err.Error(), "name an object or an entry of a table that exists"))
		}
	}
	parser.Fill(doc, &content, faults)
	return content.Objects, doc
}

// next returns the version after c, with a stamp on each object that changed.
func (c Configuration) next(objects Objects) Configuration {
	next := Configuration{
		Version: c.Version + 1,
		Objects: objects,
		Stamps:  make(map[Ref]identifier.ConfigurationVersion, len(c.Stamps)+1),
		Floor:   c.Floor,
	}
	maps.Copy(next.Stamps, c.Stamps)
	changed := changedRefs(&c.Objects, &next.Objects)
	for _, ref := range changed {
		next.Stamps[ref] = next.Version
	}
	next.Size = c.Size + printedSize(next.pick(changed)) - printedSize(c.pick(changed))
	next.dropTombstones()
	return next
}

func printedSize(objects Objects) identifier.ByteCount {
	return identifier.ByteCount(len(parser.Format(objects)))
}

// dropTombstones forgets the oldest removed objects beyond the bound.
func (c *Configuration) dropTombstones() {
	live := c.refs()
	var dead []Ref
	for ref := range c.Stamps {
		if _, found := slices.BinarySearch(live, ref); !found {
			dead = append(dead, ref)
		}
	}
	if len(dead) <= TombstonesKept {
		return
	}
	slices.SortFunc(dead, func(a, b Ref) int {
		return int(c.Stamps[a]) - int(c.Stamps[b])
	})
	for _, ref := range dead[:len(dead)-TombstonesKept] {
		c.Floor = max(c.Floor, c.Stamps[ref])
		delete(c.Stamps, ref)
	}
}
