package imitator

import (
	"fmt"
	"io"
	"io/fs"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

// paceBytes is how many bytes an origin writes between two looks at its rates.
const paceBytes = 16 << 10

// OriginConfig sets the limits of an origin.
type OriginConfig struct {
	// Folder holds the weight files.
	Folder string
	// LinkRate is the rate at which all answers together are written. Zero is unlimited.
	LinkRate identifier.BytesPerSecond
	// StoreRate refills the bucket that every byte read is taken from; a request
	// that finds it overdrawn gets 429. Zero is unlimited.
	StoreRate identifier.BytesPerSecond
	// StoreBurst is the size of the bucket.
	StoreBurst identifier.ByteCount
	// Seed drives the choice of corrupted answers.
	Seed uint64
}

// OriginCounters is the answer of GET /counters.
type OriginCounters struct {
	Files    map[string]identifier.ByteCount
	Bytes    identifier.ByteCount
	Requests int
	Refused  int
}

// Origin is a stand-in of the shared origin of weights.
type Origin struct {
	cfg   OriginConfig
	clock clockwork.Clock
	sw    *Switch
	root  *os.Root
	link  *rate.Limiter
	store *rate.Limiter

	mu       sync.Mutex
	rng      *rand.Rand
	counters OriginCounters
}

// NewOrigin returns an origin of the files under cfg.Folder.
func NewOrigin(cfg OriginConfig, clock clockwork.Clock, sw *Switch) (*Origin, error) {
	root, err := os.OpenRoot(cfg.Folder)
	if err != nil {
		return nil, err
	}
	return &Origin{
		cfg:      cfg,
		clock:    clock,
		sw:       sw,
		root:     root,
		link:     limiter(cfg.LinkRate, paceBytes),
		store:    limiter(cfg.StoreRate, max(cfg.StoreBurst, paceBytes)),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		counters: OriginCounters{Files: make(map[string]identifier.ByteCount)},
	}, nil
}

func limiter(r identifier.BytesPerSecond, burst identifier.ByteCount) *rate.Limiter {
	if r <= 0 {
		return rate.NewLimiter(rate.Inf, int(burst))
	}
	return rate.NewLimiter(rate.Limit(r), int(burst))
}

// Handler returns the origin's HTTP interface: files by path, and its counters.
func (o *Origin) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/misbehave", o.sw).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, o.Counters())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(o.serveFile).Methods(http.MethodGet, http.MethodHead)
	return router
}

// Counters returns what was read so far.
func (o *Origin) Counters() OriginCounters {
	o.mu.Lock()
	defer o.mu.Unlock()
	counters := o.counters
	counters.Files = make(map[string]identifier.ByteCount, len(o.counters.Files))
	for name, n := range o.counters.Files {
		counters.Files[name] = n
	}
	return counters
}

func (o *Origin) serveFile(w http.ResponseWriter, r *http.Request) {
	m := o.sw.Get()
	name := strings.TrimPrefix(path.Clean(r.URL.Path), "/")
	if wait := o.overdrawn(); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		http.Error(w, "rate limit reached", http.StatusTooManyRequests)
		return
	}
	file, info, err := o.open(name, m)
	if err != nil {
		http.NotFound(w, r)
		return
	}
	defer func() { _ = file.Close() }()
	w.Header().Set("Etag", fmt.Sprintf(`"%x-%x-%t"`, info.ModTime().UnixNano(), info.Size(), m.Changed))
	content := &alteredFile{ReadSeeker: file, changed: m.Changed, corrupt: o.corrupts(m)}
	out := &meteredWriter{ResponseWriter: w, r: r, o: o, name: name, m: m}
	http.ServeContent(out, r, name, info.ModTime(), content)
}

func (o *Origin) open(name string, m Misbehaviour) (*os.File, fs.FileInfo, error) {
	if m.Missing {
		return nil, nil, fs.ErrNotExist
	}
	file, err := o.root.Open(name)
	if err != nil {
		return nil, nil, err
	}
	info, err := file.Stat()
	if err == nil && info.IsDir() {
		err = fs.ErrNotExist
	}
	if err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	return file, info, nil
}

// overdrawn counts a request and returns how long it has to wait for the store.
func (o *Origin) overdrawn() time.Duration {
	tokens := o.store.TokensAt(o.clock.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Requests++
	if tokens >= 0 || o.store.Limit() == rate.Inf {
		return 0
	}
	o.counters.Refused++
	return time.Duration(-tokens / float64(o.store.Limit()) * float64(time.Second))
}

func (o *Origin) corrupts(m Misbehaviour) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.Float64() < m.CorruptFraction
}

func (o *Origin) count(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Files[name] += identifier.ByteCount(n)
	o.counters.Bytes += identifier.ByteCount(n)
}

// meteredWriter counts the bytes of an answer and keeps to the origin's rates.
type meteredWriter struct {
	http.ResponseWriter
	r    *http.Request
	o    *Origin
	name string
	m    Misbehaviour
}

func (w *meteredWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), paceBytes)]
		if err := w.pace(len(piece)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(piece)
		w.o.count(w.name, n)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// pace takes n bytes from the store's bucket and waits for the link's.
func (w *meteredWriter) pace(n int) error {
	if w.m.StallAll {
		<-w.r.Context().Done()
		return errCutOff
	}
	now := w.o.clock.Now()
	w.o.store.ReserveN(now, n)
	delay := w.o.link.ReserveN(now, n).DelayFrom(now)
	return repeater.Sleep(w.r.Context(), w.o.clock, time.Duration(float64(delay)*w.m.slow()))
}

// alteredFile serves wrong bytes where the misbehaviour asks for them.
type alteredFile struct {
	io.ReadSeeker
	changed bool // every byte differs
	corrupt bool // the next byte read differs
}

func (f *alteredFile) Read(p []byte) (int, error) {
	n, err := f.ReadSeeker.Read(p)
	if f.changed {
		for i := range p[:n] {
			p[i] ^= 0x5a
		}
	}
	if f.corrupt && n > 0 {
		p[n/2] ^= 0xff
		f.corrupt = false
	}
	return n, err
}
