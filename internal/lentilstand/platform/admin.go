package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// FaultsDoc is the written form of the fault switches.
type FaultsDoc struct {
	// Down drops every connection, watches too.
	Down bool `json:"down"`
	// DelayMilliseconds is how long each call waits before it does anything.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
}

// Faults returns the fault switches.
func (s *Server) Faults() FaultsDoc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults sets the fault switches.
func (s *Server) SetFaults(switches FaultsDoc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = switches
	if switches.Down {
		s.store.abortWatches()
	}
}

// AbortWatches ends every watch without a last event.
func (s *Server) AbortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.abortWatches()
}

// SaveSnapshot keeps the present objects for Restore.
func (s *Server) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.store.clone()
}

// RestoreSnapshot goes back to the objects and versions of the last Save, or to none.
func (s *Server) RestoreSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := s.snapshot
	if older == nil {
		older = &store{}
	}
	s.store.restore(older)
}

// serveAdmin serves GET and PUT /admin/switches, GET /admin/calls, and POST
// /admin/cut, /admin/save and /admin/restore.
func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/switches":
		writeJSON(w, http.StatusOK, s.Faults())
	case "PUT /admin/switches":
		s.serveSetFaults(w, r)
	case "GET /admin/calls":
		writeJSON(w, http.StatusOK, s.Calls())
	case "POST /admin/cut":
		s.AbortWatches()
		writeJSON(w, http.StatusOK, s.Faults())
	case "POST /admin/save":
		s.SaveSnapshot()
		writeJSON(w, http.StatusOK, s.Faults())
	case "POST /admin/restore":
		s.RestoreSnapshot()
		writeJSON(w, http.StatusOK, s.Faults())
	default:
		writeError(w, http.StatusNotFound, "NotFound", "no such switch")
	}
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, lentilplatform.MaxObjectSize))
	switches := s.Faults()
	if err != nil || json.Unmarshal(body, &switches) != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", "the switches can't be read")
		return
	}
	s.SetFaults(switches)
	writeJSON(w, http.StatusOK, switches)
}
