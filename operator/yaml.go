package operator

import (
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator/strict"
)

// Parse decodes and validates a YAML or JSON document and rejects unknown members. A rollout without a canary share
// gets DefaultCanaryShare. The error is a FieldErrors with the lines of the fields.
func Parse(b []byte) (Document, error) {
	var d Document
	decoder := strict.Decode(b, &d)
	if len(decoder.Faults) > 0 {
		return Document{}, decoder.Faults
	}
	for _, r := range d.Routes {
		if r.Rollout != nil && r.Rollout.CanaryShare == 0 {
			r.Rollout.CanaryShare = DefaultCanaryShare
		}
	}
	if fieldErrors, ok := d.Validate().(FieldErrors); ok {
		for i := range fieldErrors {
			fieldErrors[i].Line = decoder.Lines[fieldErrors[i].Path]
		}
		return Document{}, fieldErrors
	}
	return d, nil
}

// YAML validates the document and encodes it as YAML; the error may be a FieldErrors.
func (d Document) YAML() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	b, err := yaml.Marshal(d)
	return b, eris.Wrap(err, "print configuration")
}
