// Package service is an HTTP client for plain services, some of whose calls must not be repeated.
package service
