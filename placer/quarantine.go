package placer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/exposer"
	"celeryvalve/quarantiner"
	"celeryvalve/spreader"
)

const (
	quarantinePath = "/quarantine"
	// clearTimeout covers an election.
	clearTimeout = 5 * time.Second
)

// quarantinePage shows operators which requests and parts of prompts are refused, and lets
// them run again.
type quarantinePage struct {
	spreader *spreader.Spreader
	control  *controlAPI
	log      *zap.Logger
}

// mountQuarantine serves the quarantine beside the metrics: GET returns the
// quarantiner.Summary that is in force at this entry, as JSON, and DELETE of a fingerprint
// clears it at all entries.
func mountQuarantine(e *exposer.Exposer, s *spreader.Spreader, c *controlAPI, log *zap.Logger) {
	p := &quarantinePage{spreader: s, control: c, log: log.Named("quarantine")}
	r := mux.NewRouter()
	r.HandleFunc(quarantinePath, p.list).Methods(http.MethodGet)
	r.HandleFunc(quarantinePath+"/{fingerprint}", p.clear).Methods(http.MethodDelete)
	e.Mount(quarantinePath, r)
}

func (p *quarantinePage) list(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(p.spreader.Quarantine())
}

func (p *quarantinePage) clear(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(mux.Vars(r)["fingerprint"], 10, 64)
	if err != nil {
		http.Error(w, "the fingerprint is not a decimal number (take it from the list)", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), clearTimeout)
	defer cancel()
	err = p.control.submit(ctx, &quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{quarantiner.Fingerprint(n)}})
	p.log.Info("Cleared a suspect for an operator.", zap.Uint64("fingerprint", n), zap.Error(err))
	if err != nil {
		status := http.StatusInternalServerError
		if explainer.KindOf(err) == explainer.Unavailable {
			status = http.StatusServiceUnavailable
		}
		http.Error(w, err.Error(), status)
	}
}
