package configurer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// MaximumPatchSize is the maximum size of a patch file, in bytes. The time that the
// TOML library takes grows with the square of the number of keys in one table,
// and every replica parses the patch.
const MaximumPatchSize identifier.ByteCount = 64 << 10

// MaximumConfigurationSize is the maximum size of a printed configuration, in
// bytes. It keeps every message and frame that carries a configuration within
// the encoder's limit.
const MaximumConfigurationSize identifier.ByteCount = 2 << 20

// Patch is a change to one version of the configuration. Source is the file as
// it was written: Apply decodes it over the objects of the base version, so
// that only the fields that it sets change, and faults have the positions of
// the file.
type Patch struct {
	ID       identifier.PatchID
	Base     identifier.ConfigurationVersion
	Operator identifier.Operator
	File     string
	Source   []byte
}

// Digest returns the digest of Base and Source, which are equal in a patch and
// its resends.
func (p Patch) Digest() identifier.Digest {
	return identifier.DigestOf(fmt.Appendf(nil, "%d\n%s", p.Base, p.Source))
}

// patchFile is the content of a patch file. ID and Base can also be given
// outside the file.
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

// ParsePatch parses a patch file and checks its syntax, keys and types. Apply
// checks it against the configuration. The error lists every fault.
func ParsePatch(file string, data []byte) (Patch, error) {
	if identifier.ByteCount(len(data)) > MaximumPatchSize {
		return Patch{}, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("patch is larger than %s", parser.FormatSize(MaximumPatchSize)), "split it into several patches")
	}
	content, doc, err := parser.Decode[patchFile](file, data)
	if err != nil {
		return Patch{}, err
	}
	var faults explainer.Faults
	for i, path := range content.Remove {
		if _, err := path.Keys(); err != nil {
			faults.Add(doc.NewFault(parser.Path("Remove").Index(i), err.Error(), `write a path such as "Services.drafting"`))
		}
	}
	return Patch{ID: content.ID, Base: content.Base, File: file, Source: data}, faults.Err()
}

// Apply returns the configuration after the patch, with the next version. A
// patch that is based on another version than that of c is a Conflict. The
// complete result is checked, and the error lists every fault.
func Apply(c Configuration, patch Patch) (Configuration, error) {
	if patch.Base != c.Version {
		return c, explainer.New(explainer.Conflict,
			fmt.Sprintf("base %d is not the current version %d", patch.Base, c.Version),
			"read the changes since the base and submit the patch against the current version")
	}
	if identifier.ByteCount(len(patch.Source)) > MaximumPatchSize {
		return c, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("patch is larger than %s", parser.FormatSize(MaximumPatchSize)), "split it into several patches")
	}
	var faults explainer.Faults
	objects, doc := patchObjects(c, patch, &faults)
	checkObjects(c.Objects, objects, doc, &faults)
	if err := faults.Err(); err != nil {
		return c, err
	}
	next := c.nextVersion(objects)
	if next.Size > MaximumConfigurationSize {
		return c, explainer.New(explainer.InvalidInput,
			fmt.Sprintf("configuration would be larger than %s", parser.FormatSize(MaximumConfigurationSize)), "remove objects that aren't used")
	}
	return next, nil
}

// patchObjects returns the objects after the patch. It removes objects before
// it sets others, so that one patch can replace an object.
func patchObjects(c Configuration, patch Patch, faults *explainer.Faults) (Objects, *parser.Document) {
	var firstPass patchFile
	doc := parser.Parse(patch.File, patch.Source, faults)
	parser.DecodeDocument(doc, &firstPass, &explainer.Faults{}) // the Fill below reports these faults
	if doc.Has("Base") && firstPass.Base != patch.Base {
		faults.Add(doc.NewFault("Base", fmt.Sprintf("patch was submitted against version %d", patch.Base), "use the same base in the file and in the submission"))
	}
	if doc.Has("ID") && firstPass.ID != patch.ID {
		faults.Add(doc.NewFault("ID", fmt.Sprintf("patch was submitted as %q", patch.ID), "use the same ID in the file and in the submission"))
	}
	content := patchFile{Objects: c.clone()}
	for i, path := range firstPass.Remove {
		if err := removePath(&content.Objects, path); err != nil {
			faults.Add(doc.NewFault(parser.Path("Remove").Index(i), err.Error(), "name an object or an entry of a table that exists"))
		}
	}
	parser.DecodeDocument(doc, &content, faults)
	return content.Objects, doc
}

// nextVersion returns the version after c, with a new stamp on each object that
// changed.
func (c Configuration) nextVersion(objects Objects) Configuration {
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
	next.Size = c.Size + printedSize(next.subset(changed)) - printedSize(c.subset(changed))
	next.dropTombstones()
	return next
}

func printedSize(objects Objects) identifier.ByteCount {
	return identifier.ByteCount(len(parser.Format(objects)))
}

// dropTombstones drops the oldest tombstones beyond MaximumTombstones, and raises
// Floor to the newest dropped one.
func (c *Configuration) dropTombstones() {
	existing := c.refs()
	var tombstones []Ref
	for ref := range c.Stamps {
		if _, found := slices.BinarySearch(existing, ref); !found {
			tombstones = append(tombstones, ref)
		}
	}
	if len(tombstones) <= MaximumTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b Ref) int {
		return cmp.Or(cmp.Compare(c.Stamps[a], c.Stamps[b]), cmp.Compare(a, b))
	})
	for _, ref := range tombstones[:len(tombstones)-MaximumTombstones] {
		c.Floor = max(c.Floor, c.Stamps[ref])
		delete(c.Stamps, ref)
	}
}
