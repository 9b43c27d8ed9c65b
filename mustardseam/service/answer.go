package service

// Answer is the whole response of a service.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}
