package linker

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// Settings are the capacity, the delay and the faults of a link. With the zero value the
// link forwards without a limit, a delay or faults.
type Settings struct {
	// Rate is the capacity of each direction. Zero means unlimited.
	Rate identifier.BytesPerSecond
	// Delay is the one-way propagation delay. It is added to the time that sending
	// takes at Rate.
	Delay imitator.Duration
	// Loss is the fraction of the UDP packets that are dropped, from 0 to 1.
	Loss float64
	// Cut closes TCP connections and drops UDP packets.
	Cut bool
	// Freeze holds TCP data and drops UDP packets.
	Freeze bool
}

// Handler returns the control interface in JSON: GET /link returns the Settings, and
// POST /link replaces them. POST /silence calls Silence. GET /counters returns the
// Counters.
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
