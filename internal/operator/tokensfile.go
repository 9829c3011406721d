package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"cassiawood/internal/duty"
)

// TokensFile is the file with the tokens that the API accepts. It is reloaded when it changes, so
// that a token that is taken out of it is refused without a restart.
type TokensFile struct {
	file             string
	log              *slog.Logger
	authenticator    *Authenticator
	text             []byte // content in use; written only by the reloading duty
	lastReloadFailed bool   // consecutive failures are logged once
}

// OpenTokensFile reads a tokens file. The errors are those of LoadTokens.
func OpenTokensFile(file string, log *slog.Logger) (*TokensFile, error) {
	f := &TokensFile{file: file, log: log, authenticator: NewAuthenticator(nil, time.Now)}
	if _, err := f.Reload(); err != nil {
		return nil, err
	}
	return f, nil
}

// Authenticator returns the authenticator that accepts the tokens of the file.
func (f *TokensFile) Authenticator() *Authenticator { return f.authenticator }

// Reload reads the file and reports whether the tokens changed. On an error the current tokens
// stay in use, since an incomplete file must not lock all operators out.
func (f *TokensFile) Reload() (bool, error) {
	text, err := os.ReadFile(f.file)
	if err != nil {
		return false, fmt.Errorf("tokensFile: %w", err)
	}
	if f.text != nil && bytes.Equal(text, f.text) {
		return false, nil
	}
	tokens, err := parseTokens(f.file, text)
	if err != nil {
		return false, err
	}
	f.text = text
	f.authenticator.SetTokens(tokens)
	return true, nil
}

// Duty returns the duty that reloads the file when it changes.
func (f *TokensFile) Duty() duty.Duty {
	return duty.Every("operator tokens", reloadInterval, f.reloadAndLog)
}

func (f *TokensFile) reloadAndLog() {
	changed, err := f.Reload()
	if err != nil && !f.lastReloadFailed {
		f.log.Warn("tokens not reloaded, keeping the current ones", "error", err)
	}
	f.lastReloadFailed = err != nil
	if changed {
		f.log.Info("tokens reloaded", "file", f.file, "tokens", len(*f.authenticator.tokens.Load()))
	}
}

// LoadTokens reads the tokens file that "cassiawood keys" writes. The error lists
// every invalid token.
func LoadTokens(file string) ([]Token, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("tokensFile: %w", err)
	}
	return parseTokens(file, text)
}

func parseTokens(file string, text []byte) ([]Token, error) {
	var tokenSettings []TokenSetting
	if err := json.Unmarshal(text, &tokenSettings); err != nil {
		return nil, fmt.Errorf("tokensFile %s: %w", file, err)
	}
	var tokens []Token
	var findings []error
	for i, setting := range tokenSettings {
		token, err := setting.Token()
		if err != nil {
			findings = append(findings, fmt.Errorf("tokensFile %s, token %d: %w", file, i+1, err))
		}
		tokens = append(tokens, token)
	}
	return tokens, errors.Join(findings...)
}
