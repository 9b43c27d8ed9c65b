package etcd

import (
	"errors"

	"github.com/gofiber/fiber/v3"
)

// Errors of refused calls; the texts are those of etcd, except errUnsupportedComparison.
var (
	errNoLeader              = errors.New("etcdserver: no leader")
	errTooManyRequests       = errors.New("etcdserver: too many requests")
	errTooLarge              = errors.New("etcdserver: request is too large")
	errNoKey                 = errors.New("etcdserver: key is not provided")
	errNoLease               = errors.New("etcdserver: requested lease not found")
	errTTL                   = errors.New("etcdserver: too large or too small lease TTL")
	errUnsupportedComparison = errors.New("target or result of the comparison is not supported")
	errCompacted             = errors.New("etcdserver: mvcc: required revision has been compacted")
)

// sendError sends the error with the HTTP status and the gRPC code that the gateway uses for it.
func sendError(c fiber.Ctx, err error) error {
	status, code := fiber.StatusBadRequest, 3
	switch {
	case errors.Is(err, errNoLeader):
		status, code = fiber.StatusServiceUnavailable, 14
	case errors.Is(err, errTooManyRequests):
		status, code = fiber.StatusTooManyRequests, 8
	case errors.Is(err, errNoLease):
		status, code = fiber.StatusNotFound, 5
	}
	return c.Status(status).JSON(fiber.Map{"error": err.Error(), "message": err.Error(), "code": code})
}
