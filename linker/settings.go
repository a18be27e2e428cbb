package linker

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// Settings are what a link does to its traffic. The zero value only forwards.
type Settings struct {
	// Rate is the capacity of each direction. Zero is unlimited.
	Rate identifier.BytesPerSecond
	// Delay is the time from one end to the other, besides the rate.
	Delay imitator.Duration
	// Loss is the share of UDP packets that are dropped.
	Loss float64
	// Cut closes connections and drops packets.
	Cut bool
	// Freeze holds everything.
	Freeze bool
}

// Handler returns the control interface: GET and POST /link, POST /silence and
// GET /counters.
func (l *Link) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/link", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, l.Settings())
	}).Methods(http.MethodGet)
	router.HandleFunc("/link", l.handleSet).Methods(http.MethodPost)
	router.HandleFunc("/silence", func(w http.ResponseWriter, _ *http.Request) {
		l.Silence()
		writeJSON(w, l.Settings())
	}).Methods(http.MethodPost)
	router.HandleFunc("/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, l.Counters())
	}).Methods(http.MethodGet)
	return router
}

func (l *Link) handleSet(w http.ResponseWriter, r *http.Request) {
	var s Settings
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(s)
	writeJSON(w, s)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
