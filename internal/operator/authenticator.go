package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"
)

// Token grants a team access to the API. It contains only the hash of the secret,
// so that a stolen tokens file gives no access.
type Token struct {
	Team    string
	Hash    [sha256.Size]byte
	Expires time.Time // zero means never
	Site    bool      // also allows declaring failure domains and draining hosts
}

// TokenSetting is a token in the tokens file.
type TokenSetting struct {
	Team    string `json:"team"`
	SHA256  string `json:"sha256"`            // 64 hexadecimal digits
	Expires string `json:"expires,omitempty"` // a date such as 2027-12-31, the last day on which it is valid (UTC)
	Site    bool   `json:"site,omitempty"`
}

// Token validates s and returns it as a Token.
func (s TokenSetting) Token() (Token, error) {
	t := Token{Team: s.Team, Site: s.Site}
	if s.Team == "" {
		return Token{}, fmt.Errorf("a token needs a team")
	}
	hash, err := hex.DecodeString(s.SHA256)
	if err != nil || len(hash) != len(t.Hash) {
		return Token{}, fmt.Errorf("token of team %q: sha256 is not 64 hexadecimal digits", s.Team)
	}
	copy(t.Hash[:], hash)
	if s.Expires == "" {
		return t, nil
	}
	day, err := time.Parse(time.DateOnly, s.Expires)
	if err != nil {
		return Token{}, fmt.Errorf("token of team %q: expires %q is not a date such as 2027-12-31", s.Team, s.Expires)
	}
	t.Expires = day.AddDate(0, 0, 1)
	return t, nil
}

// NewSecret returns a random secret of 256 bits and its hash.
func NewSecret() (string, [sha256.Size]byte) {
	var random [32]byte
	rand.Read(random[:]) // never fails; see crypto/rand
	secret := base64.RawURLEncoding.EncodeToString(random[:])
	return secret, sha256.Sum256([]byte(secret))
}

// Authenticator authenticates requests by their tokens. It is safe for concurrent use.
type Authenticator struct {
	tokens atomic.Pointer[[]Token]
	now    func() time.Time
}

// NewAuthenticator returns an Authenticator that accepts the given tokens. now
// returns the current time.
func NewAuthenticator(tokens []Token, now func() time.Time) *Authenticator {
	a := &Authenticator{now: now}
	a.SetTokens(tokens)
	return a
}

// SetTokens replaces the accepted tokens. Requests that are being handled keep the access that they have.
func (a *Authenticator) SetTokens(tokens []Token) { a.tokens.Store(&tokens) }

// Authenticate returns the token with the given secret. It compares every token in
// constant time, so that response times reveal nothing about the hashes.
func (a *Authenticator) Authenticate(secret string) (Token, error) {
	if secret == "" {
		return Token{}, &UnauthorisedError{"the request has no token"}
	}
	hash := sha256.Sum256([]byte(secret))
	tokens := *a.tokens.Load()
	found := -1
	for i := range tokens {
		same := subtle.ConstantTimeCompare(hash[:], tokens[i].Hash[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return Token{}, &UnauthorisedError{"the token is not known"}
	}
	token := tokens[found]
	if !token.Expires.IsZero() && !a.now().Before(token.Expires) {
		lastDay := token.Expires.Add(-time.Nanosecond).UTC()
		return Token{}, &UnauthorisedError{fmt.Sprintf("the token of team %q was valid until %s", token.Team, lastDay.Format(time.DateOnly))}
	}
	return token, nil
}
