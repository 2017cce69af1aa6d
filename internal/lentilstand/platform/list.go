package platform

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// maxPageBytes is the maximum size of the specs in a page of a list. It keeps the response
// below MaxObjectSize.
const maxPageBytes = lentilplatform.MaxObjectSize * 3 / 4

// maxPageEntries is the maximum number of objects in a page. Clients may ask for less.
const maxPageEntries = 500

func (s *Server) serveList(w http.ResponseWriter, r *http.Request, res resource) {
	query := r.URL.Query()
	after, revision, ok := parseContinue(query.Get("continue"))
	if !ok {
		writeError(w, http.StatusBadRequest, "BadRequest", "the continue token is malformed")
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageEntries {
		limit = maxPageEntries
	}
	namesOnly := strings.Contains(r.Header.Get("Accept"), "as=PartialObjectMetadataList")
	s.mu.Lock()
	docs := s.store.list(res)
	// Later pages carry the revision of the first page. A watch from it also reports
	// changes that were made between the pages.
	if revision == 0 {
		revision = s.store.revision
	}
	s.mu.Unlock()
	page := lentilplatform.ListDoc{
		APIVersion: lentilplatform.APIGroup + "/" + lentilplatform.APIVersion,
		Kind:       res.kind.APIKind() + "List",
		Metadata:   lentilplatform.ListMetadataDoc{ResourceVersion: strconv.FormatUint(revision, 10)},
		Items:      []lentilplatform.ObjectDoc{},
	}
	size := 0
	for _, doc := range docs {
		if doc.Metadata.Name <= after {
			continue
		}
		if namesOnly {
			doc.Spec = nil
		}
		if len(page.Items) == limit || size > 0 && size+len(doc.Spec) > maxPageBytes {
			page.Metadata.Continue = formatContinue(page.Items[len(page.Items)-1].Metadata.Name, revision)
			break
		}
		size += len(doc.Spec)
		page.Items = append(page.Items, doc)
	}
	writeJSON(w, http.StatusOK, page)
}

// continueDoc is the JSON form of a continue token: the last name in the previous page and
// the revision of the list.
type continueDoc struct {
	After    string `json:"after"`
	Revision uint64 `json:"revision"`
}

func formatContinue(after string, revision uint64) string {
	body, err := json.Marshal(continueDoc{After: after, Revision: revision})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(body)
}

func parseContinue(token string) (after string, revision uint64, ok bool) {
	if token == "" {
		return "", 0, true
	}
	body, err := base64.RawURLEncoding.DecodeString(token)
	var doc continueDoc
	if err != nil || json.Unmarshal(body, &doc) != nil {
		return "", 0, false
	}
	return doc.After, doc.Revision, true
}
