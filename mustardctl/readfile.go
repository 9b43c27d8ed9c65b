package main

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// maxFileBytes limits the size of a configuration file to 16 MiB, the limit of package revision for a document.
const maxFileBytes = 16 << 20

// readFile reads the file at path, or in when path is "-".
func readFile(path string, in io.Reader) ([]byte, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "read configuration")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	if len(b) > maxFileBytes {
		return nil, eris.Errorf("read configuration: %s has more than %d bytes", path, maxFileBytes)
	}
	return b, nil
}
