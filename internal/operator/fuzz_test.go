package operator_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"cassiawood/internal/operator"
)

// FuzzRequest guards against a request body that causes a panic or an internal
// error.
func FuzzRequest(f *testing.F) {
	f.Add("/v1/section", `{"change_id":"1","author":"bob","section":"Orders","base_version":0,"text":"Note: hello."}`)
	f.Add("/v1/drain", `{"change_id":"1","author":"bob","host":"entry-1"}`)
	f.Add("/v1/out-of-service", `{"change_id":"1","author":"bob","failure_domain":"east","out_of_service":true}`)
	f.Add("/v1/section", `{"base_version":-1}`)
	f.Add("/v1/section", `{"change_id":"1","author":"bob","section":"Orders","base_version":4,"text":""}`)
	authenticator := testAuthenticator()
	f.Fuzz(func(t *testing.T, path, body string) {
		method := "POST"
		if path == "/v1/section" {
			method = "PUT"
		}
		r := httptest.NewRequest(method, "/", strings.NewReader(body))
		r.URL.Path = path
		r.Header.Set("Authorization", "Bearer "+secrets["site"])
		w := httptest.NewRecorder()
		operator.NewHandler(&fakeBackend{fakeStore: newFakeStore()}, authenticator, discardLog).ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Fatalf("status %d for %s %q: %s", w.Code, path, body, w.Body)
		}
	})
}

// FuzzReply guards against a reply that makes the client panic, is mistaken for a
// success, or results in an error without a text.
func FuzzReply(f *testing.F) {
	f.Add(409, `{"kind":"race"}`)
	f.Add(422, `{"kind":"refused","reason":"x","findings":[{"line":1}]}`)
	f.Add(421, `{"kind":"not leader","leader":"10.0.0.1:8443"}`)
	f.Add(200, `{"section":"Orders","version":8,"in_force":["east"]}`)
	f.Add(422, `{"kind":"refused"}`) // gave an error without a text before the reason had a default
	f.Add(502, `<html>`)
	f.Fuzz(func(t *testing.T, status int, reply string) {
		_, err := operator.ReadReply(status, []byte(reply))
		if err == nil && status != 200 {
			t.Fatalf("status %d %q is a success", status, reply)
		}
		if err != nil && err.Error() == "" {
			t.Fatalf("status %d %q has no reason", status, reply)
		}
	})
}
