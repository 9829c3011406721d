package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"cassiawood/internal/document"
)

// Limits of requests.
const (
	// maxBodyBytes is the maximum length of a body in bytes: the longest section with
	// every byte escaped in JSON, and the other fields.
	maxBodyBytes = 6*document.MaxSectionBytes + 4096
	// maxFieldBytes is the maximum length in bytes of change IDs, authors, section
	// headings, hosts and failure domains.
	maxFieldBytes = 100
	// answerTimeout is the timeout of a request. It covers an election and the 5 s in
	// which failure domains confirm a change.
	answerTimeout = 15 * time.Second
)

// api converts HTTP requests to calls of a Backend.
type api struct {
	backend       Backend
	authenticator *Authenticator
	log           *slog.Logger
}

// NewHandler returns the handler that serves backend as an HTTP API.
func NewHandler(backend Backend, authenticator *Authenticator, log *slog.Logger) http.Handler {
	a := &api{backend, authenticator, log}
	mux := http.NewServeMux()
	handle := func(pattern string, action func(*call) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, action) })
	}
	handle("PUT /v1/section", a.save)
	handle("GET /v1/section", a.section)
	handle("GET /v1/sections", a.sections)
	handle("GET /v1/history", func(c *call) (any, error) { return nonNilList(backend.History(c, c.query("heading"))) })
	handle("GET /v1/services", func(c *call) (any, error) { return nonNilList(backend.Services(c)) })
	handle("GET /v1/backends", func(c *call) (any, error) { return nonNilList(backend.BackendServers(c)) })
	handle("GET /v1/hosts", func(c *call) (any, error) { return nonNilList(backend.Hosts(c)) })
	handle("GET /v1/domains", func(c *call) (any, error) { return nonNilList(backend.FailureDomains(c)) })
	handle("POST /v1/out-of-service", a.outOfService)
	handle("POST /v1/drain", a.drain)
	return mux
}

// call is one authenticated request.
type call struct {
	context.Context
	request *http.Request
	token   Token
}

func (c *call) query(name string) string { return c.request.URL.Query().Get(name) }

// serve authenticates the request, runs action and writes its result.
func (a *api) serve(w http.ResponseWriter, r *http.Request, action func(*call) (any, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	token, err := a.authenticator.Authenticate(secret)
	var result any
	if err == nil {
		result, err = action(&call{ctx, r, token})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err == nil {
		writeJSON(w, http.StatusOK, result)
		return
	}
	status, p, known := toProblem(err)
	if token.Team == "" {
		status = http.StatusUnauthorized
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if !known {
		a.log.Error("operator request failed", "path", r.URL.Path, "team", token.Team, "error", err)
	}
	writeJSON(w, status, p)
}

// nonNilList replaces a nil slice by an empty one, because JSON encodes nil as null.
func nonNilList[T any](values []T, err error) (any, error) {
	if values == nil {
		values = []T{}
	}
	return values, err
}

// writeJSON writes a response. It ignores write errors, because the client has
// disconnected and resends its request.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readBody decodes the body of the request into value.
func (c *call) readBody(value any) error {
	decoder := json.NewDecoder(c.request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return &RefusedError{Reason: fmt.Sprintf("the text is longer than %d characters", document.MaxSectionBytes)}
		}
		return &badRequest{"the body is not the JSON that this path takes: " + err.Error()}
	}
	return nil
}

// checkField refuses a value that is missing, too long or not printable, because
// it appears in logs and on the terminals of other operators.
func checkField(name, value string) error {
	if value == "" {
		return &badRequest{name + " is missing"}
	}
	if len(value) > maxFieldBytes {
		return &badRequest{fmt.Sprintf("%s has more than %d characters", name, maxFieldBytes)}
	}
	if strings.ContainsFunc(value, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return &badRequest{name + " has characters that cannot be printed"}
	}
	return nil
}

// checkChangeFields checks the fields that every change has.
func checkChangeFields(id, author, name, value string) error {
	return errors.Join(checkField("change_id", id), checkField("author", author), checkField(name, value))
}

func (a *api) save(c *call) (any, error) {
	var change Change
	if err := c.readBody(&change); err != nil {
		return nil, err
	}
	change.Team = c.token.Team
	if err := checkChangeFields(change.ID, change.Author, "section", change.Section); err != nil {
		return nil, err
	}
	if err := a.checkSectionOwner(c, change.Section); err != nil {
		return nil, err
	}
	return a.backend.Save(c, change)
}

// checkSectionOwner refuses a change to another team's section. The control hosts check
// this again when they apply the change, because two teams may create a section
// with the same heading at the same time.
func (a *api) checkSectionOwner(c *call, heading string) error {
	current, err := a.backend.Section(c, heading, 0)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if current.Team != c.token.Team {
		return &UnauthorisedError{fmt.Sprintf("section %q belongs to team %q, and your token is of team %q",
			heading, current.Team, c.token.Team)}
	}
	return nil
}

func (a *api) sections(c *call) (any, error) {
	sections, err := a.backend.Sections(c)
	return SectionsJSON(sections), err
}

func (a *api) section(c *call) (any, error) {
	version := uint64(0)
	if text := c.query("version"); text != "" {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, &badRequest{"version is not a number"}
		}
	}
	section, err := a.backend.Section(c, c.query("heading"), version)
	return toSectionJSON(section), err
}

// checkSiteToken refuses tokens that are valid only for a team's own sections.
func (c *call) checkSiteToken() error {
	if !c.token.Site {
		return &UnauthorisedError{fmt.Sprintf("the token of team %q does not allow changes of failure domains and hosts", c.token.Team)}
	}
	return nil
}

func (a *api) outOfService(c *call) (any, error) {
	if err := c.checkSiteToken(); err != nil {
		return nil, err
	}
	var change DomainChange
	if err := c.readBody(&change); err != nil {
		return nil, err
	}
	change.Team = c.token.Team
	if err := checkChangeFields(change.ID, change.Author, "failure_domain", change.Domain); err != nil {
		return nil, err
	}
	return struct{}{}, a.backend.DeclareOutOfService(c, change)
}

func (a *api) drain(c *call) (any, error) {
	if err := c.checkSiteToken(); err != nil {
		return nil, err
	}
	var drain HostDrain
	if err := c.readBody(&drain); err != nil {
		return nil, err
	}
	drain.Team = c.token.Team
	if err := checkChangeFields(drain.ID, drain.Author, "host", drain.Host); err != nil {
		return nil, err
	}
	return struct{}{}, a.backend.DrainHost(c, drain)
}
