package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// SwitchesDoc is the written form of the fault switches.
type SwitchesDoc struct {
	// Down drops every connection, watches too.
	Down bool `json:"down"`
	// DelayMilliseconds is how long each call waits before it does anything.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
}

// Switches returns the fault switches.
func (s *Server) Switches() SwitchesDoc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Switch sets the fault switches.
func (s *Server) Switch(switches SwitchesDoc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	if switches.Down {
		s.state.cut()
	}
}

// CutWatches ends every watch without a last event.
func (s *Server) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.cut()
}

// Save keeps the present objects for Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = s.state.copy()
}

// Restore goes back to the objects and versions of the last Save, or to none.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := s.saved
	if older == nil {
		older = &state{}
	}
	s.state.restore(older)
}

// serveAdmin serves GET and PUT /admin/switches, GET /admin/calls, and POST
// /admin/cut, /admin/save and /admin/restore.
func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/switches":
		answer(w, http.StatusOK, s.Switches())
	case "PUT /admin/switches":
		s.serveSwitch(w, r)
	case "GET /admin/calls":
		answer(w, http.StatusOK, s.Calls())
	case "POST /admin/cut":
		s.CutWatches()
		answer(w, http.StatusOK, s.Switches())
	case "POST /admin/save":
		s.Save()
		answer(w, http.StatusOK, s.Switches())
	case "POST /admin/restore":
		s.Restore()
		answer(w, http.StatusOK, s.Switches())
	default:
		refuse(w, http.StatusNotFound, "NotFound", "no such switch")
	}
}

func (s *Server) serveSwitch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, lentilplatform.MaxObjectSize))
	switches := s.Switches()
	if err != nil || json.Unmarshal(body, &switches) != nil {
		refuse(w, http.StatusBadRequest, "BadRequest", "the switches can't be read")
		return
	}
	s.Switch(switches)
	answer(w, http.StatusOK, switches)
}
