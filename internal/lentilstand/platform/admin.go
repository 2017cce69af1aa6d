package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// FaultsDoc is the JSON form of the fault switches.
type FaultsDoc struct {
	// Down drops every API connection, including watches.
	Down bool `json:"down"`
	// DelayMilliseconds delays each call before it is performed.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers makes this many of the next writes take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
}

// Faults returns the fault switches.
func (s *Server) Faults() FaultsDoc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(faults FaultsDoc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Down {
		s.store.abortWatches()
	}
}

// AbortWatches drops the connections of all watches without a final event.
func (s *Server) AbortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.abortWatches()
}

// SaveSnapshot saves the current objects and revision for RestoreSnapshot.
func (s *Server) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.store.clone()
}

// RestoreSnapshot restores the objects and revision of the last SaveSnapshot, or an empty
// store. It simulates a platform that has returned to older data.
func (s *Server) RestoreSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.snapshot
	if snapshot == nil {
		snapshot = &store{}
	}
	s.store.restore(snapshot)
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
		writeError(w, http.StatusNotFound, "NotFound", "no such admin endpoint")
	}
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, lentilplatform.MaxObjectSize))
	faults := s.Faults()
	if err != nil || json.Unmarshal(body, &faults) != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", "the fault switches are unreadable or malformed")
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}
