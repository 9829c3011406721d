package announce_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/announce"
	"cassiawood/internal/directory"
)

func TestAnnounce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "announce")
}

type fakeSubmitter struct {
	submitted []announce.Announcement
	err       error
}

func (s *fakeSubmitter) Submit(_ context.Context, a announce.Announcement) error {
	s.submitted = append(s.submitted, a)
	return s.err
}

const validBody = `{"instance":"i1","service":"order-desk","address":"10.30.0.1","port":8443,"failure_domain":"a",
"slots":2,"state":"ready","lease_seconds":6}`

func post(s *fakeSubmitter, text string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest("POST", "/v1/announce", strings.NewReader(text))
	r.Header.Set("Authorization", "Bearer secret")
	announce.NewHandler(s).ServeHTTP(w, r)
	return w
}

var _ = Describe("Handler", func() {
	// Guards against an announcement that loses its state or token on the way to the leader.
	It("submits a valid announcement", func() {
		s := &fakeSubmitter{}
		Expect(post(s, validBody).Code).To(Equal(204))
		Expect(s.submitted).To(HaveLen(1))
		Expect(s.submitted[0].Endpoint.State).To(Equal(directory.Ready))
		Expect(s.submitted[0].Token).To(Equal("secret"))
	})

	// Guards against answering with success when the leader did not accept the
	// announcement.
	DescribeTable("returns the status code for the outcome", func(err error, code int) {
		Expect(post(&fakeSubmitter{err: err}, validBody).Code).To(Equal(code))
	},
		Entry("refused", &announce.RefusedError{Reason: "token is wrong"}, 403),
		Entry("no leader", errors.New("no control host answered"), 503),
	)

	// Guards against reporting only the first of several problems and against
	// submitting an invalid announcement.
	It("reports all problems", func() {
		s := &fakeSubmitter{}
		w := post(s, `{"instance":"","service":"s","address":"::1","port":0,"failure_domain":"a","slots":0,
"state":"fine","lease_seconds":600,"health_url":"file:///etc"}`)
		Expect(w.Code).To(Equal(400))
		for _, name := range []string{"instance", "address", "port", "slots", "state", "lease_seconds", "health_url"} {
			Expect(w.Body.String()).To(ContainSubstring(name + ":"))
		}
		Expect(s.submitted).To(BeEmpty())
	})
})

// FuzzHandler guards against a panic on a malformed announcement.
func FuzzHandler(f *testing.F) {
	for _, seed := range []string{validBody, "", "{}", `{"lease_seconds":1e300}`, `{"port":-1}`} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, text string) { post(&fakeSubmitter{}, text) })
}
