package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/user"
	"path/filepath"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"cassiawood/internal/operator"
)

// settingsVariable is the environment variable that names the settings file.
const settingsVariable = "CASSIAWOOD_SETTINGS"

func defaultSettingsFile() string {
	dir, err := os.UserConfigDir()
	if err != nil {
		return "cassiawood.json"
	}
	return filepath.Join(dir, "cassiawood", "cassiawood.json")
}

// settingsPath is the path of the settings file.
type settingsPath string

// connect builds the client from the settings file. It sends nothing yet.
func connect(file string) (operator.Backend, operator.ClientSettings, error) {
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file == "" {
		file = defaultSettingsFile()
	}
	var backend operator.Backend
	var settings operator.ClientSettings
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settingsPath(file)),
		fx.Provide(readSettings, fx.Annotate(operator.NewClient, fx.As(new(operator.Backend)))),
		fx.Populate(&backend, &settings),
	)
	if err := app.Err(); err != nil {
		return nil, settings, dig.RootCause(err)
	}
	return backend, settings, nil
}

func readSettings(path settingsPath) (operator.ClientSettings, operator.ClientOptions, error) {
	settings, options, err := operator.ReadClientSettings(string(path))
	if errors.Is(err, fs.ErrNotExist) {
		err = fmt.Errorf("settings: %w; give the file that cassiawood keys made with -settings or in the variable %s", err, settingsVariable)
	}
	return settings, options, err
}

// newChangeID returns a random, unique change ID.
func newChangeID() string { return rand.Text() }

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
