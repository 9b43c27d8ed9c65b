package engine

// Version returns the version that the engine runs.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
