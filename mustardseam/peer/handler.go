package peer

// Handler processes the messages of other instances.
type Handler interface {
	Ask(AskRequest) AskAnswer
	Outcomes(OutcomesRequest) Ack
	Heartbeat(Heartbeat) Heartbeat
	Consent(ConsentRequest) ConsentAnswer
	Document(digest string) ([]byte, bool)
	Answer(request string) ([]byte, bool)
}
