package commands

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
)

// settingsFileEnv is the environment variable that names the settings file if no flag does.
const settingsFileEnv = "AMBERWAY_SETTINGS"

// readSettings returns the settings from the file, variables and flags. It returns false
// and the exit code if the daemon is to exit.
func readSettings(args []string, out, errs io.Writer) (Settings, parsedSettings, int, bool) {
	s := defaultSettings()
	if f := settingsFile(args); f != "" {
		if err := s.readFile(f); err != nil {
			fmt.Fprintf(errs, "amberwayd: %v\n", err)
			return s, parsedSettings{}, ExitUsage, false
		}
	}
	if code, ok := parseArgs(&s, "amberwayd", args, out, errs); !ok {
		return s, parsedSettings{}, code, false
	}
	c, err := s.check()
	if err != nil {
		fmt.Fprintf(errs, "amberwayd: %v\n", err)
		return s, c, ExitUsage, false
	}
	return s, c, ExitOK, true
}

// settingsFile returns the settings file that the arguments or the environment name. The
// file must be read before the flags are parsed, because flags override it.
func settingsFile(args []string) string {
	for i, a := range args {
		if v, ok := strings.CutPrefix(a, "--settings="); ok {
			return v
		}
		if a == "--settings" && i+1 < len(args) {
			return args[i+1]
		}
	}
	return os.Getenv(settingsFileEnv)
}

// readFile overrides the settings with those of the file. An unknown key is an error that
// shows its line.
func (s *Settings) readFile(name string) error {
	b, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	err = yaml.NewDecoder(strings.NewReader(string(b)), yaml.Strict()).Decode(s)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("settings file %s: %s", name, strings.TrimSpace(yaml.FormatError(err, false, true)))
	}
	return nil
}
