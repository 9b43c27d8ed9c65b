package service

// Response is the complete response of a service.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}
