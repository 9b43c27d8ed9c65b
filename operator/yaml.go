package operator

import (
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Parse reads a YAML or JSON document, refuses unknown members and checks it; the error may be FieldErrors.
func Parse(b []byte) (Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(b, &d, yaml.Strict()); err != nil {
		return Document{}, eris.Wrap(err, "parse configuration")
	}
	if err := d.Validate(); err != nil {
		return Document{}, err
	}
	return d, nil
}

// YAML checks the document and prints it as YAML; the error may be FieldErrors.
func (d Document) YAML() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	b, err := yaml.Marshal(d)
	return b, eris.Wrap(err, "print configuration")
}
