package service

// Response is the whole response of a service.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}
