package settings

import (
	"os"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// defaultBalancerDelay is the shutdown's delay where the settings give none.
const defaultBalancerDelay = 5 * time.Second

// Read reads and checks a file. It fails with kind Invalid and every fault of
// the file, or NotFound.
func Read(path string) (*Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "the settings can't be read", "pass the path of a readable file with -settings")
	}
	return Parse(source)
}

// Parse reads and checks settings in JSON with comments.
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
