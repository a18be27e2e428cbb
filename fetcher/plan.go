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
	// ancestors lead from the parent to the root.
	ancestors []Peer
	// copyNumber is the copy of the origin that the member reads, or notRoot.
	copyNumber int
}

// tree is the tree of one stripe. Members are numbers of the plan's peers.
type tree struct {
	// order lists the members of every region from its root to its leaves.
	order []int
	// parent is the member that a member asks, or noParent.
	parent []int
	// children is how many members ask a member.
	children []int
	// copies numbers the roots. Other members have notRoot.
	copies []int
}

const noParent = -1

// plan holds the trees of every stripe of a transfer. Equal members make an
// equal plan on every instance.
type plan struct {
	peers []Peer
	index map[identifier.Upstream]int
	trees []tree
}

// planner builds the trees so that no member's uploads exceed the others' by much.
type planner struct {
	seed    identifier.Digest
	peers   []Peer
	regions [][]int
	load    []int
	stripes int
}

// newPlan builds the trees over peers. roots is how many trees, over all
// stripes, start at the origin; it is at least one for each stripe.
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
		share := roots / stripes
		if s < roots%stripes {
			share++
		}
		out.trees = append(out.trees, p.tree(s, max(1, share)))
	}
	return out
}

// place returns the member's position in the stripe's tree.
func (p *plan) place(stripe int, member identifier.Upstream) position {
	t := p.trees[stripe]
	at := p.index[member]
	pos := position{copyNumber: t.copies[at]}
	for at = t.parent[at]; at != noParent; at = t.parent[at] {
		pos.ancestors = append(pos.ancestors, p.peers[at])
	}
	return pos
}

// descends reports whether the member is below the ancestor in the stripe's tree.
func (p *plan) descends(stripe int, member, ancestor identifier.Upstream) bool {
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

// children returns how many members ask the member for the stripe.
func (p *plan) children(stripe int, name identifier.Upstream) int {
	i, ok := p.index[name]
	if !ok {
		return 0
	}
	return p.trees[stripe].children[i]
}

// tree builds one stripe's tree: the regions form a chain by their roots.
func (p *planner) tree(stripe, roots int) tree {
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
		order := p.region(&t, stripe, region, feedsNext)
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

// region builds the part of the tree inside one region and returns its members
// from the root to the leaves.
func (p *planner) region(t *tree, stripe int, region []int, feedsNext bool) []int {
	edges := len(region) - 1
	if feedsNext {
		edges++
	}
	inner := p.inner(region, edges)
	order := p.order(stripe, region, inner)
	next := 1
	for i, member := range inner {
		share := member.share
		if i == 0 && feedsNext && share > 1 {
			share--
		}
		for ; share > 0 && next < len(order); share-- {
			t.connect(order[next], member.number)
			next++
		}
	}
	for ; next < len(order); next++ {
		t.connect(order[next], order[0])
	}
	return order
}

// innerMember hands a stripe on to share others.
type innerMember struct {
	number int
	share  int
}

// inner deals the edges out to the members that joined first, each up to the
// load that all can bear, and puts members with small shares last. A member that
// joins or leaves moves few shares.
func (p *planner) inner(region []int, edges int) []innerMember {
	var inner []innerMember
	bearable := p.bearable(len(region))
	for _, member := range region {
		share := min(edges, bearable-p.load[member])
		if share <= 0 {
			continue
		}
		p.load[member] += share
		edges -= share
		inner = append(inner, innerMember{number: member, share: share})
	}
	if len(inner) == 0 {
		inner = append(inner, innerMember{number: region[0]})
	}
	inner[0].share += edges
	slices.SortStableFunc(inner, func(a, b innerMember) int {
		return cmp.Compare(min(b.share, bearable/rootPart), min(a.share, bearable/rootPart))
	})
	return inner
}

// rootPart is the part of the bearable load that a root has to have, as a
// divisor. Under a root with few children the tree is a level deeper.
const rootPart = 2

// spareLoad is the part by which a member may feed more than its even share, so
// that those that joined last need not hand anything on.
const spareLoad = 0.05

// bearable returns how many members one member of a region has to feed, over
// all stripes.
func (p *planner) bearable(members int) int {
	crossings := float64(p.stripes*(len(p.regions)-1)) / float64(len(p.regions))
	even := (float64(p.stripes*(members-1)) + crossings) / float64(members)
	return int(max(math.Ceil(even), math.Floor(even*(1+spareLoad))))
}

// order returns the region's members with the inner ones in front. The others
// stand by zone.
func (p *planner) order(stripe int, region []int, inner []innerMember) []int {
	order := make([]int, 0, len(region))
	isInner := make(map[int]bool, len(inner))
	for _, member := range inner {
		order = append(order, member.number)
		isInner[member.number] = true
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
