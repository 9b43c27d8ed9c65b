package operator

import (
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator/strict"
)

// Parse reads a YAML or JSON document, refuses unknown members and checks it; a rollout without a canary share gets
// DefaultCanaryShare. The error is FieldErrors, with the lines of the fields.
func Parse(b []byte) (Document, error) {
	var d Document
	in := strict.Decode(b, &d)
	if len(in.Faults) > 0 {
		return Document{}, in.Faults
	}
	for _, r := range d.Routes {
		if r.Rollout != nil && r.Rollout.CanaryShare == 0 {
			r.Rollout.CanaryShare = DefaultCanaryShare
		}
	}
	if faults, ok := d.Validate().(FieldErrors); ok {
		for i := range faults {
			faults[i].Line = in.Lines[faults[i].Path]
		}
		return Document{}, faults
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
