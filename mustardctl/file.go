package main

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// maxFile bounds a configuration file in bytes, as package revision bounds a document.
const maxFile = 16 << 20

// readFile reads a file, or in for "-".
func readFile(path string, in io.Reader) ([]byte, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "read configuration")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxFile+1))
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	if len(b) > maxFile {
		return nil, eris.Errorf("read configuration: %s has more than %d bytes", path, maxFile)
	}
	return b, nil
}
