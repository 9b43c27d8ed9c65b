package etcd

import (
	"errors"

	"github.com/gofiber/fiber/v3"
)

// The messages of refused calls, as the protocol words them.
var (
	errNoLeader  = errors.New("etcdserver: no leader")
	errRate      = errors.New("etcdserver: too many requests")
	errTooLarge  = errors.New("etcdserver: request is too large")
	errNoKey     = errors.New("etcdserver: key is not provided")
	errNoLease   = errors.New("etcdserver: requested lease not found")
	errTTL       = errors.New("etcdserver: too large or too small lease TTL")
	errTarget    = errors.New("target or result of the comparison is not supported")
	errCompacted = errors.New("etcdserver: mvcc: required revision has been compacted")
)

// refuse answers with the error and the gateway's status and code for it.
func refuse(c fiber.Ctx, err error) error {
	status, code := fiber.StatusBadRequest, 3
	switch {
	case errors.Is(err, errNoLeader):
		status, code = fiber.StatusServiceUnavailable, 14
	case errors.Is(err, errRate):
		status, code = fiber.StatusTooManyRequests, 8
	case errors.Is(err, errNoLease):
		status, code = fiber.StatusNotFound, 5
	}
	return c.Status(status).JSON(fiber.Map{"error": err.Error(), "message": err.Error(), "code": code})
}
