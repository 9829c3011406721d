package operator_test

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

var errDisk = errors.New("disk /secret/path failed")

// now is the time of the tests. The token "old" expired an hour before.
var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// secrets contains the secrets of the tokens, by name.
var secrets = map[string]string{}

func testAuthenticator() *operator.Authenticator {
	var tokens []operator.Token
	for _, t := range []struct {
		name, team string
		expires    time.Time
		site       bool
	}{
		{"shop", "shop", time.Time{}, false},
		{"store", "store", now.Add(time.Hour), false},
		{"old", "shop", now.Add(-time.Hour), true},
		{"site", "site", time.Time{}, true},
	} {
		if secrets[t.name] == "" {
			secrets[t.name], _ = operator.NewSecret()
		}
		hash := sha256.Sum256([]byte(secrets[t.name]))
		tokens = append(tokens, operator.Token{Team: t.team, Hash: hash, Expires: t.expires, Site: t.site})
	}
	return operator.NewAuthenticator(tokens, func() time.Time { return now })
}

var _ = Describe("the HTTP API", func() {
	var backend *fakeBackend
	var handler http.Handler

	BeforeEach(func() {
		backend = &fakeBackend{fakeStore: newFakeStore()}
		handler = operator.NewHandler(backend, testAuthenticator(), discardLog)
	})

	request := func(method, path, authorization, body string) (int, string) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		if authorization != "" {
			r.Header.Set("Authorization", authorization)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		text, err := io.ReadAll(w.Result().Body)
		Expect(err).NotTo(HaveOccurred())
		return w.Code, string(text)
	}
	bearer := func(name string) string { return "Bearer " + secrets[name] }
	save := func(token, body string) (int, string) { return request("PUT", "/v1/section", bearer(token), body) }
	change := func(id, section, base string) string {
		return `{"change_id":"` + id + `","author":"bob","section":"` + section + `","base_version":` + base +
			`,"text":"The service \"order-desk\" is reached at 10.20.0.1, port 443."}`
	}

	// Guards against a credential that gives access to anything it should not.
	DescribeTable("rejects invalid credentials", func(authorization func() string, method, path string, status int, reason string) {
		code, text := request(method, path, authorization(), change("1", "Orders", "0"))
		Expect(code).To(Equal(status), text)
		Expect(text).To(ContainSubstring(reason))
		Expect(backend.saved).To(BeZero())
		Expect(backend.drained).To(BeEmpty())
		Expect(backend.domains).To(BeEmpty())
	},
		Entry("missing", func() string { return "" }, "GET", "/v1/sections", 401, "no token"),
		Entry("empty", func() string { return "Bearer " }, "PUT", "/v1/section", 401, "no token"),
		Entry("wrong", func() string { return "Bearer " + secrets["shop"] + "x" }, "PUT", "/v1/section", 401, "not known"),
		Entry("the hash instead of the secret", func() string { return "Bearer " + strings.Repeat("0", 64) }, "PUT", "/v1/section", 401, "not known"),
		Entry("expired, save", func() string { return bearer("old") }, "PUT", "/v1/section", 401, `valid until 2026-12-04`),
		Entry("expired, drain", func() string { return bearer("old") }, "POST", "/v1/drain", 401, `valid until`),
		Entry("of a team, drain", func() string { return bearer("shop") }, "POST", "/v1/drain", 403, "does not allow"),
		Entry("of a team, out of service", func() string { return bearer("shop") }, "POST", "/v1/out-of-service", 403, "does not allow"),
	)

	// Guards against a team that changes another team's section or sends another
	// team's name in the body.
	It("lets a team change only its own section", func() {
		code, text := save("shop", change("1", "Orders", "0"))
		Expect(code).To(Equal(200), text)
		code, text = save("store", change("2", "Orders", "1"))
		Expect(code).To(Equal(403))
		Expect(text).To(ContainSubstring(`belongs to team \"shop\"`))
		code, text = save("store", strings.Replace(change("3", "Orders", "1"), "{", `{"team":"shop",`, 1))
		Expect(code).To(Equal(400), text)
		Expect(backend.saved).To(Equal(1))
	})

	// Guards against a conflict error without the accepted change and its text.
	It("returns the accepted change in a conflict error", func() {
		save("shop", change("1", "Orders", "0"))
		code, text := save("shop", change("2", "Orders", "0"))
		Expect(code).To(Equal(409))
		Expect(text).To(And(ContainSubstring(`"author":"ann"`), ContainSubstring(`"version":1`), ContainSubstring("10.20.0.1")))
	})

	// Guards against findings that lose their position in the text.
	It("returns the findings of a refused text", func() {
		code, text := save("shop", strings.Replace(change("1", "Orders", "0"), "port", "prot", 1))
		Expect(code).To(Equal(422))
		Expect(text).To(ContainSubstring(`"line":1,"column":51,"words":"prot 443"`))
	})

	// Guards against fields that are missing, unbounded or unsafe to print on a
	// terminal.
	DescribeTable("rejects malformed requests", func(method, path, body string, status int) {
		code, text := request(method, path, bearer("site"), body)
		Expect(code).To(Equal(status), text)
	},
		Entry("not JSON", "PUT", "/v1/section", "hello", 400),
		Entry("no change ID", "PUT", "/v1/section", `{"author":"a","section":"A"}`, 400),
		Entry("an author with a line break", "PUT", "/v1/section", `{"author":"a\nb","change_id":"1","section":"A"}`, 400),
		Entry("a long host name", "POST", "/v1/drain", `{"author":"a","change_id":"1","host":"`+strings.Repeat("a", 101)+`"}`, 400),
		Entry("a body that is too long", "PUT", "/v1/section", `{"text":"`+strings.Repeat("a", 8*document.MaxSectionBytes)+`"}`, 422),
		Entry("a version that is not a number", "GET", "/v1/section?heading=A&version=x", "", 400),
		Entry("a section that does not exist", "GET", "/v1/section?heading=A", "", 404),
		Entry("an unknown path", "GET", "/v1/nothing", "", 404),
	)

	// Guards against internal errors that reveal details of a host to operators.
	It("hides the details of internal errors", func() {
		code, text := request("GET", "/v1/hosts", bearer("shop"), "")
		Expect(code).To(Equal(500))
		Expect(text).NotTo(ContainSubstring("secret"))
	})

	// Guards against losing the author or team of a change to a host or failure
	// domain.
	It("passes site changes to the backend with the team of the token", func() {
		code, _ := request("POST", "/v1/drain", bearer("site"), `{"change_id":"1","author":"bob","host":"entry-1"}`)
		Expect(code).To(Equal(200))
		Expect(backend.drained).To(Equal([]operator.HostDrain{{ID: "1", Team: "site", Author: "bob", Host: "entry-1"}}))
		code, _ = request("POST", "/v1/out-of-service", bearer("site"), `{"change_id":"1","author":"bob","failure_domain":"east","out_of_service":true}`)
		Expect(code).To(Equal(200))
		Expect(backend.domains).To(Equal([]operator.DomainChange{{ID: "1", Team: "site", Author: "bob", Domain: "east", OutOfService: true}}))
	})
})

var _ = DescribeTable("TokenSetting", func(s operator.TokenSetting, wanted string) {
	// Guards against accepting a token without a hash and against one that wrongly
	// never expires.
	token, err := s.Token()
	if wanted == "" {
		Expect(err).NotTo(HaveOccurred())
		Expect(token.Expires).To(Equal(time.Date(2027, 2, 1, 0, 0, 0, 0, time.UTC)))
		return
	}
	Expect(err).To(MatchError(ContainSubstring(wanted)))
},
	Entry("complete", operator.TokenSetting{Team: "a", SHA256: strings.Repeat("ab", 32), Expires: "2027-01-31"}, ""),
	Entry("no team", operator.TokenSetting{SHA256: strings.Repeat("ab", 32)}, "needs a team"),
	Entry("a short hash", operator.TokenSetting{Team: "a", SHA256: "ab"}, "64 hexadecimal digits"),
	Entry("an invalid date", operator.TokenSetting{Team: "a", SHA256: strings.Repeat("ab", 32), Expires: "tomorrow"}, "is not a date"),
)
