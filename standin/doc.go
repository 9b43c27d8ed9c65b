// Package standin holds the stand-ins of engines, services and the platform.
package standin
