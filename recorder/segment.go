package recorder

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
)

const (
	segmentPrefix = "Log-"
	markPrefix    = "Mark-"
	numberFormat  = "%016x"
)

// segment is one file of the log.
type segment struct {
	number uint64
	// begin is the last index of the log before this segment. No entry in it
	// has this index or a lower one.
	begin Index
}

func segmentName(number uint64) string {
	return fmt.Sprintf(segmentPrefix+numberFormat, number)
}

func markName(number uint64) string {
	return fmt.Sprintf(markPrefix+numberFormat, number)
}

func numbersOf(names []string, prefix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if _, err := fmt.Sscanf(name[len(prefix):], numberFormat, &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// replay is the state of the log while its segments are read.
type replay struct {
	hardState HardState
	begin     Position
	entries   []Entry
	next      sequence
	started   bool
	// segmentBegin is the index that the last segment begins after.
	segmentBegin Index
}

func (p *replay) last() Position {
	if len(p.entries) == 0 {
		return p.begin
	}
	return p.entries[len(p.entries)-1].Position()
}

// at returns the position of the entry with the index, if the log holds it.
func (p *replay) at(index Index) (Position, bool) {
	if index == p.begin.Index {
		return p.begin, true
	}
	if index < p.begin.Index || index > p.last().Index {
		return Position{}, false
	}
	return p.entries[index-p.begin.Index-1].Position(), true
}

// apply takes in the body of one frame.
func (p *replay) apply(b body) error {
	if b.HardState != nil {
		p.hardState = *b.HardState
	}
	if b.Begin != nil && !p.started {
		p.begin = *b.Begin
	}
	if b.Reset != nil {
		p.begin = *b.Reset
		p.entries = nil
	}
	if b.Begin != nil && b.Begin.Index < p.begin.Index {
		// The segments that held this position are gone: the snapshot covers it.
		p.begin = *b.Begin
		p.entries = nil
	}
	if b.Begin != nil {
		if at, ok := p.at(b.Begin.Index); !ok || at != *b.Begin {
			return fmt.Errorf("segment begins after entry %d, which the log to entry %d lacks", b.Begin.Index, p.last().Index)
		}
		p.entries = p.entries[:b.Begin.Index-p.begin.Index]
		p.segmentBegin = b.Begin.Index
	}
	p.started = true
	for _, e := range b.Entries {
		if err := p.add(e); err != nil {
			return err
		}
	}
	return nil
}

// add appends the entry in place of any from its index on.
func (p *replay) add(e Entry) error {
	if e.Index <= p.begin.Index || e.Index > p.last().Index+1 {
		return fmt.Errorf("entry %d does not follow the log from %d to %d", e.Index, p.begin.Index, p.last().Index)
	}
	p.entries = p.entries[:e.Index-p.begin.Index-1]
	if e.Chain != e.ChainAfter(p.last().Chain) {
		return fmt.Errorf("chain of entry %d does not match its content", e.Index)
	}
	e.At = e.At.UTC()
	p.entries = append(p.entries, e)
	return nil
}

// loadSegments reads every segment. Only the last may end in a torn frame.
func (r *Recorder) loadSegments(names []string) (*replay, error) {
	p := &replay{}
	numbers := numbersOf(names, segmentPrefix)
	if err := r.checkMarks(numbers, numbersOf(names, markPrefix)); err != nil {
		return nil, err
	}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return nil, corrupt("segment %s is missing", filepath.Join(r.cfg.Folder, segmentName(n-1)))
		}
		begin, err := r.loadSegment(p, n, i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		r.segments = append(r.segments, segment{number: n, begin: begin})
	}
	return p, nil
}

// checkMarks refuses a mark without its segment: the segment was lost.
func (r *Recorder) checkMarks(segments, marks []uint64) error {
	for _, m := range marks {
		if len(segments) > 0 && m <= segments[len(segments)-1] {
			continue
		}
		data, err := r.fs.Read(filepath.Join(r.cfg.Folder, markName(m)))
		if err != nil {
			return failed(err, "read of "+markName(m))
		}
		if readMark(data) > 0 {
			return corrupt("segment %s is missing", filepath.Join(r.cfg.Folder, segmentName(m)))
		}
	}
	return nil
}

// loadSegment takes in one segment and returns the index that it begins after.
func (r *Recorder) loadSegment(p *replay, number uint64, last bool) (begin Index, err error) {
	path := filepath.Join(r.cfg.Folder, segmentName(number))
	data, err := r.fs.Read(path)
	if err != nil {
		return 0, failed(err, "read of "+path)
	}
	synced, err := r.loadMark(number)
	if err != nil {
		return 0, err
	}
	whole, err := p.read(data)
	if err != nil {
		return 0, corrupt("segment %s is damaged: %v", path, err)
	}
	if whole < len(data) || int64(whole) < synced {
		if err := checkTorn(p, data, whole, synced, last); err != nil {
			return 0, corrupt("segment %s is damaged at byte %d: %v", path, whole, err)
		}
	}
	begin = p.segmentBegin
	if whole == 0 {
		begin = p.last().Index
	}
	if !last || int64(whole) == synced && whole == len(data) {
		return begin, nil
	}
	return begin, r.rewriteSegment(number, data[:whole])
}

// checkTorn tells whether the bytes after whole can be one write that was cut
// short before it was synced.
func checkTorn(p *replay, data []byte, whole int, synced int64, last bool) error {
	if !last {
		return errors.New("a later segment exists, so these bytes were synced")
	}
	if int64(whole) < synced {
		return fmt.Errorf("%d bytes were synced", synced)
	}
	if holdsLaterFrame(data[whole:], p.next) {
		return errors.New("a whole frame follows, so these bytes were synced")
	}
	return nil
}

// read takes in the whole frames at the front of data and returns their length.
func (p *replay) read(data []byte) (int, error) {
	whole := 0
	for {
		number, content, size, ok := readFrame(data[whole:])
		if !ok {
			return whole, nil
		}
		if p.started && number != p.next {
			return whole, fmt.Errorf("frame %d stands where frame %d belongs", number, p.next)
		}
		var b body
		if err := bodyDecoder.Unmarshal(content, &b); err != nil {
			return whole, err
		}
		if whole == 0 && b.Begin == nil {
			return whole, errors.New("the first frame of the segment is missing")
		}
		if err := p.apply(b); err != nil {
			return whole, err
		}
		p.next = number + 1
		whole += size
	}
}

func (r *Recorder) loadMark(number uint64) (int64, error) {
	data, err := r.fs.Read(filepath.Join(r.cfg.Folder, markName(number)))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, failed(err, "read of "+markName(number))
	}
	return readMark(data), nil
}

// rewriteSegment writes the whole frames to a new file. Their last sync may
// have failed, after which a further sync of the same file proves nothing.
func (r *Recorder) rewriteSegment(number uint64, data []byte) error {
	if err := r.replaceFile(segmentName(number), data); err != nil {
		return err
	}
	return r.replaceFile(markName(number), appendMark(nil, int64(len(data))))
}
