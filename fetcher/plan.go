package fetcher

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// notRoot marks a position that does not read from the origin.
const notRoot = -1

// position is one member's place in the tree of a stripe.
type position struct {
	// ancestors are the members from the parent up to the root.
	ancestors []Peer
	// copyNumber is the number of the origin's copy that the member reads, or notRoot.
	copyNumber int
}

// tree is the tree of one stripe. Members are indices into the peers of the plan.
type tree struct {
	// order lists the members of each region from the region's root to its leaves.
	order []int
	// parent is, for each member, the member that it asks for chunks, or noParent.
	parent []int
	// children is, for each member, the number of members that ask it.
	children []int
	// copies is, for each root, the number of the origin's copy that it reads. Other
	// members have notRoot.
	copies []int
}

const noParent = -1

// plan holds the trees of every stripe of a transfer. Every instance computes the
// same plan from the same members.
type plan struct {
	peers []Peer
	index map[identifier.Upstream]int
	trees []tree
}

// planner builds the trees so that no member uploads much more than the others.
type planner struct {
	seed    identifier.Digest
	peers   []Peer
	regions [][]int
	load    []int
	stripes int
}

// newPlan builds the trees over peers. roots is how many trees, over all stripes,
// are rooted at the origin; each stripe has at least one.
func newPlan(seed identifier.Digest, peers []Peer, stripes, roots int) *plan {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Token, b.Token), cmp.Compare(a.Upstream, b.Upstream))
	})
	p := planner{seed: seed, peers: peers, load: make([]int, len(peers)), stripes: stripes}
	out := &plan{peers: peers, index: make(map[identifier.Upstream]int, len(peers))}
	for i, peer := range peers {
		out.index[peer.Upstream] = i
		if i == 0 || peers[i-1].Region != peer.Region {
			p.regions = append(p.regions, nil)
		}
		last := len(p.regions) - 1
		p.regions[last] = append(p.regions[last], i)
	}
	for s := range stripes {
		treeRoots := roots / stripes
		if s < roots%stripes {
			treeRoots++
		}
		out.trees = append(out.trees, p.buildTree(s, max(1, treeRoots)))
	}
	return out
}

// position returns the member's position in the stripe's tree. One that isn't in the list
// of members, as when it was removed and doesn't know yet, is placed below the root of its
// region: the others have no part for it, so that what it read from the origin would be read
// twice.
func (p *plan) position(stripe int, member Peer) position {
	t := p.trees[stripe]
	at, listed := p.index[member.Upstream]
	if !listed {
		root := t.regionRoot(p.peers, member.Region)
		pos := p.position(stripe, p.peers[root])
		return position{ancestors: append([]Peer{p.peers[root]}, pos.ancestors...), copyNumber: notRoot}
	}
	pos := position{copyNumber: t.copies[at]}
	for at = t.parent[at]; at != noParent; at = t.parent[at] {
		pos.ancestors = append(pos.ancestors, p.peers[at])
	}
	return pos
}

// regionRoot returns the root of the region in this tree, or that of the whole tree if it has
// no member there.
func (t *tree) regionRoot(peers []Peer, region identifier.Region) int {
	for _, i := range t.order {
		if peers[i].Region == region {
			return i
		}
	}
	return t.order[0]
}

// isDescendant reports whether the member is below the ancestor in the stripe's tree.
func (p *plan) isDescendant(stripe int, member, ancestor identifier.Upstream) bool {
	at, known := p.index[member]
	if !known {
		return false
	}
	for at = p.trees[stripe].parent[at]; at != noParent; at = p.trees[stripe].parent[at] {
		if p.peers[at].Upstream == ancestor {
			return true
		}
	}
	return false
}

// childCount returns how many members ask the member for chunks of the stripe.
func (p *plan) childCount(stripe int, member identifier.Upstream) int {
	i, ok := p.index[member]
	if !ok {
		return 0
	}
	return p.trees[stripe].children[i]
}

// buildTree builds the tree of one stripe. The roots of the first regions read from
// the origin; the root of each further region is a child of the previous region's
// root.
func (p *planner) buildTree(stripe, roots int) tree {
	n := len(p.peers)
	t := tree{parent: make([]int, n), children: make([]int, n), copies: make([]int, n)}
	for i := range n {
		t.parent[i] = noParent
		t.copies[i] = notRoot
	}
	last := noParent
	for i := range p.regions {
		region := p.regions[(i+stripe)%len(p.regions)]
		feedsNext := i+1 < len(p.regions) && i+1 >= roots
		order := p.buildRegion(&t, stripe, region, feedsNext)
		if i < roots {
			t.copies[order[0]] = i
		} else {
			t.connect(order[0], last)
		}
		last = order[0]
		t.order = append(t.order, order...)
	}
	return t
}

func (t *tree) connect(child, parent int) {
	t.parent[child] = parent
	t.children[parent]++
}

// buildRegion connects the members of one region and returns them from the root to
// the leaves. With feedsNext the root also has the next region's root as a child.
func (p *planner) buildRegion(t *tree, stripe int, region []int, feedsNext bool) []int {
	edges := len(region) - 1
	if feedsNext {
		edges++
	}
	inner := p.assignChildren(region, edges)
	order := p.orderMembers(stripe, region, inner)
	next := 1
	for i, member := range inner {
		children := member.children
		if i == 0 && feedsNext && children > 1 {
			children--
		}
		for ; children > 0 && next < len(order); children-- {
			t.connect(order[next], member.index)
			next++
		}
	}
	for ; next < len(order); next++ {
		t.connect(order[next], order[0])
	}
	return order
}

// innerMember is a member that has children in the tree of a stripe.
type innerMember struct {
	index    int
	children int
}

// assignChildren distributes the edges over the members of a region in the order in
// which they joined, each up to the maximum load. A member that joins or leaves
// therefore changes few assignments. Members with few children come last, so that
// they do not become roots.
func (p *planner) assignChildren(region []int, edges int) []innerMember {
	var inner []innerMember
	maxLoad := p.maxLoad(len(region))
	for _, member := range region {
		children := min(edges, maxLoad-p.load[member])
		if children <= 0 {
			continue
		}
		p.load[member] += children
		edges -= children
		inner = append(inner, innerMember{index: member, children: children})
	}
	if len(inner) == 0 {
		inner = append(inner, innerMember{index: region[0]})
	}
	inner[0].children += edges
	slices.SortStableFunc(inner, func(a, b innerMember) int {
		return cmp.Compare(min(b.children, maxLoad/rootLoadDivisor), min(a.children, maxLoad/rootLoadDivisor))
	})
	return inner
}

// rootLoadDivisor sets how many children make a member as good a root as any other:
// the maximum load divided by it. Below a root with few children the tree is one
// level deeper.
const rootLoadDivisor = 2

// loadSlack is the fraction by which the load of a member may exceed the average, so
// that the members that joined last need no children.
const loadSlack = 0.05

// maxLoad returns how many children, over all stripes, one member of a region may
// have.
func (p *planner) maxLoad(members int) int {
	crossings := float64(p.stripes*(len(p.regions)-1)) / float64(len(p.regions))
	evenLoad := (float64(p.stripes*(members-1)) + crossings) / float64(members)
	return int(max(math.Ceil(evenLoad), math.Floor(evenLoad*(1+loadSlack))))
}

// orderMembers returns the region's members with the inner ones first. The others
// are sorted by availability zone, and by hash within a zone.
func (p *planner) orderMembers(stripe int, region []int, inner []innerMember) []int {
	order := make([]int, 0, len(region))
	isInner := make(map[int]bool, len(inner))
	for _, member := range inner {
		order = append(order, member.index)
		isInner[member.index] = true
	}
	hashes := make(map[int]uint64, len(region))
	for _, member := range region {
		hashes[member] = p.hash(stripe, p.peers[member].Upstream)
		if !isInner[member] {
			order = append(order, member)
		}
	}
	slices.SortFunc(order[len(inner):], func(a, b int) int {
		return cmp.Or(cmp.Compare(p.peers[a].AvailabilityZone, p.peers[b].AvailabilityZone),
			cmp.Compare(hashes[a], hashes[b]))
	})
	return order
}

func (p *planner) hash(stripe int, member identifier.Upstream) uint64 {
	buf := make([]byte, 0, len(p.seed)+8+len(member))
	buf = append(buf, p.seed[:]...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(stripe))
	buf = append(buf, member...)
	return xxhash.Sum64(buf)
}
