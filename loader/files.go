package loader

import (
	"errors"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// FilesPath is the prefix of the paths under which FileServer serves files.
const FilesPath = "/Weights/"

// OpenFile opens a file of a manifest. The file is read from stored chunks.
type OpenFile func(m *verifier.Manifest, f verifier.File) (io.ReadSeekCloser, error)

// FileServer is an HTTP handler that serves the files of verified weights to the engine,
// at /Weights/<digest of the manifest>/<path>. It is safe for concurrent use.
type FileServer struct {
	base string
	open OpenFile

	mu      sync.Mutex
	weights map[identifier.Digest]verifier.Weights
}

// NewFileServer returns a handler without files. base is the URL at which the engine
// reaches it.
func NewFileServer(base string, open OpenFile) *FileServer {
	return &FileServer{
		base:    strings.TrimSuffix(base, "/"),
		open:    open,
		weights: make(map[identifier.Digest]verifier.Weights),
	}
}

// add makes the files of the weights available.
func (s *FileServer) add(w verifier.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights[w.Manifest().Digest()] = w
}

// remove makes the files of the manifest unavailable.
func (s *FileServer) remove(manifest identifier.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.weights, manifest)
}

// orderFiles returns the files of the weights and the URLs at which the engine reads
// them.
func (s *FileServer) orderFiles(w verifier.Weights) []orderFile {
	m := w.Manifest()
	out := make([]orderFile, 0, len(m.Files))
	for _, f := range m.Files {
		u := url.URL{Path: path.Join(FilesPath, m.Digest().String(), f.Path)}
		out = append(out, orderFile{Path: f.Path, Size: f.Size, Digest: f.Digest, URL: s.base + u.EscapedPath()})
	}
	return out
}

// ServeHTTP handles GET and HEAD requests for a file, including ranges.
func (s *FileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m, f, err := s.find(r.URL.Path)
	if err != nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.NotFound(w, r)
		return
	}
	content, err := s.open(m, f)
	if err != nil {
		http.Error(w, explainer.Wrap(err, explainer.Unavailable, "file can't be opened", "try again; the agent fetches the file again").Error(),
			http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = content.Close() }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", `"`+f.Digest.String()+`"`)
	http.ServeContent(w, r, f.Path, time.Time{}, content)
}

// find returns the file at a URL path.
func (s *FileServer) find(name string) (*verifier.Manifest, verifier.File, error) {
	digestText, file, _ := strings.Cut(strings.TrimPrefix(name, FilesPath), "/")
	digest, err := identifier.ParseDigest(digestText)
	if err != nil {
		return nil, verifier.File{}, err
	}
	s.mu.Lock()
	w, ok := s.weights[digest]
	s.mu.Unlock()
	if !ok {
		return nil, verifier.File{}, fs.ErrNotExist
	}
	for _, f := range w.Manifest().Files {
		if f.Path == file {
			return w.Manifest(), f, nil
		}
	}
	return nil, verifier.File{}, errors.New("no such file")
}
