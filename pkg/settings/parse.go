package settings

import (
	"os"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// defaultBalancerDelay is the default of Shutdown.BalancerDelay.
const defaultBalancerDelay = 5 * time.Second

// Read reads and validates a settings file. Its error is of kind NotFound if the
// file can't be read. Otherwise it is of kind Invalid and lists every problem in
// the file.
func Read(path string) (*Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "the settings file can't be read", "pass the path of a readable file with -settings")
	}
	return Parse(source)
}

// Parse decodes and validates settings in JSON with comments.
func Parse(source []byte) (*Settings, error) {
	s := &Settings{
		Shutdown: Shutdown{BalancerDelay: config.Duration(defaultBalancerDelay)},
		Log:      Log{Level: "info", Format: "text"},
	}
	d := jsonc.NewDecoder(source, nil)
	if err := d.Decode(s); err != nil {
		return nil, err
	}
	check(d, s)
	if err := d.Err("the settings are not valid"); err != nil {
		return nil, err
	}
	return s, nil
}
