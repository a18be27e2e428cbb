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

// replay is the state of the log while its segments are being read.
type replay struct {
	hardState    HardState
	begin        Position
	entries      []Entry
	committed    Index
	nextSequence sequence
	started      bool
	// segmentBegin is the begin of the segment that was read last.
	segmentBegin Index
}

func (p *replay) lastPosition() Position {
	if len(p.entries) == 0 {
		return p.begin
	}
	return p.entries[len(p.entries)-1].Position()
}

// positionAt returns the position of the entry with the given index, or the
// position where the log begins. It returns false for any other index.
func (p *replay) positionAt(index Index) (Position, bool) {
	if index == p.begin.Index {
		return p.begin, true
	}
	if index < p.begin.Index || index > p.lastPosition().Index {
		return Position{}, false
	}
	return p.entries[index-p.begin.Index-1].Position(), true
}

// apply applies the body of one frame.
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
		// The segments with this position were removed, since the snapshot covers it.
		p.begin = *b.Begin
		p.entries = nil
	}
	if b.Begin != nil {
		if found, ok := p.positionAt(b.Begin.Index); !ok || found != *b.Begin {
			return fmt.Errorf("segment begins after entry %d, which is not in the log up to entry %d", b.Begin.Index, p.lastPosition().Index)
		}
		p.entries = p.entries[:b.Begin.Index-p.begin.Index]
		p.segmentBegin = b.Begin.Index
	}
	p.started = true
	p.committed = max(p.committed, b.Committed)
	for _, e := range b.Entries {
		if err := p.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// appendEntry appends the entry and removes those that it replaces: all from its
// index on.
func (p *replay) appendEntry(e Entry) error {
	if e.Index <= p.begin.Index || e.Index > p.lastPosition().Index+1 {
		return fmt.Errorf("entry %d does not follow the log from %d to %d", e.Index, p.begin.Index, p.lastPosition().Index)
	}
	p.entries = p.entries[:e.Index-p.begin.Index-1]
	if e.Chain != e.ChainAfter(p.lastPosition().Chain) {
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
			return nil, corruptError("segment %s is missing", filepath.Join(r.cfg.Folder, segmentName(n-1)))
		}
		begin, err := r.loadSegment(p, n, i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		r.segments = append(r.segments, segment{number: n, begin: begin})
	}
	return p, nil
}

// checkMarks returns an error if a mark file records synced bytes of a segment that
// follows the last one: that segment was lost.
func (r *Recorder) checkMarks(segments, marks []uint64) error {
	for _, m := range marks {
		if len(segments) > 0 && m <= segments[len(segments)-1] {
			continue
		}
		data, err := r.fs.Read(filepath.Join(r.cfg.Folder, markName(m)))
		if err != nil {
			return diskError(err, "read of "+markName(m))
		}
		if readMark(data) > 0 {
			return corruptError("segment %s is missing", filepath.Join(r.cfg.Folder, segmentName(m)))
		}
	}
	return nil
}

// loadSegment reads one segment and returns its begin. It rewrites the last segment
// unless that is intact and was synced as a whole.
func (r *Recorder) loadSegment(p *replay, number uint64, last bool) (begin Index, err error) {
	path := filepath.Join(r.cfg.Folder, segmentName(number))
	data, err := r.fs.Read(path)
	if err != nil {
		return 0, diskError(err, "read of "+path)
	}
	synced, err := r.loadMark(number)
	if err != nil {
		return 0, err
	}
	validBytes, err := p.readFrames(data)
	if err != nil {
		return 0, corruptError("segment %s is damaged: %v", path, err)
	}
	if validBytes < len(data) || int64(validBytes) < synced {
		if err := checkTorn(p, data, validBytes, synced, last); err != nil {
			return 0, corruptError("segment %s is damaged at byte %d: %v", path, validBytes, err)
		}
	}
	begin = p.segmentBegin
	if validBytes == 0 {
		begin = p.lastPosition().Index
	}
	if !last || int64(validBytes) == synced && validBytes == len(data) {
		return begin, nil
	}
	return begin, r.rewriteSegment(number, data[:validBytes])
}

// checkTorn returns an error unless the bytes after validBytes can be a single write
// that was interrupted before its sync.
func checkTorn(p *replay, data []byte, validBytes int, synced int64, last bool) error {
	if !last {
		return errors.New("a later segment exists, so these bytes were synced")
	}
	if int64(validBytes) < synced {
		return fmt.Errorf("%d bytes were synced", synced)
	}
	if holdsLaterFrame(data[validBytes:], p.nextSequence) {
		return errors.New("a whole frame follows, so these bytes were synced")
	}
	return nil
}

// readFrames applies the intact frames at the start of data and returns their total
// length.
func (p *replay) readFrames(data []byte) (int, error) {
	validBytes := 0
	for {
		number, content, size, ok := readFrame(data[validBytes:])
		if !ok {
			return validBytes, nil
		}
		if p.started && number != p.nextSequence {
			return validBytes, fmt.Errorf("found frame %d in place of frame %d", number, p.nextSequence)
		}
		var b body
		if err := bodyDecoder.Unmarshal(content, &b); err != nil {
			return validBytes, err
		}
		if validBytes == 0 && b.Begin == nil {
			return validBytes, errors.New("the first frame of the segment is missing")
		}
		if err := p.apply(b); err != nil {
			return validBytes, err
		}
		p.nextSequence = number + 1
		validBytes += size
	}
}

func (r *Recorder) loadMark(number uint64) (int64, error) {
	data, err := r.fs.Read(filepath.Join(r.cfg.Folder, markName(number)))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, diskError(err, "read of "+markName(number))
	}
	return readMark(data), nil
}

// rewriteSegment writes the intact frames to a new file. The last sync of the old
// file may have failed, and after that a successful sync of the same file does not
// prove that its content is on the disk.
func (r *Recorder) rewriteSegment(number uint64, data []byte) error {
	if err := r.replaceFile(segmentName(number), data); err != nil {
		return err
	}
	return r.replaceFile(markName(number), appendMark(nil, int64(len(data))))
}
