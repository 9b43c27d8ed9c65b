// Package service is a client of plain services, some of whose calls may not be repeated.
package service
