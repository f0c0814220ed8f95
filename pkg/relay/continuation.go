package relay

import (
	"mime"
	"net/http"
)

// contentKind is the kind of a response's content.
type contentKind struct{ mediaType, encoding string }

// kindOfContent returns the kind of a response's content.
func kindOfContent(response *http.Response) contentKind {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return contentKind{mediaType: mediaType, encoding: response.Header.Get("Content-Encoding")}
}

// matches reports whether the content of two responses may be parts of one stream. A media type
// that is not stated may be any.
func (k contentKind) matches(other contentKind) bool {
	unstated := k.mediaType == "" || other.mediaType == ""
	return k.encoding == other.encoding && (unstated || k.mediaType == other.mediaType)
}

// mayContinue reports whether a response may bring the rest of the stream whose beginning the
// caller has: a stream with content of the same kind.
func (c *call) mayContinue(kind ResponseKind, response *http.Response) bool {
	return kind == ResponseStream && (!c.result.ResponseStarted || kindOfContent(response).matches(c.begunKind))
}

// eventsOf returns a reader of a response's events. If the caller has the beginning of the
// stream, the response must have an event before its end.
func (a *attempt) eventsOf(events EventReader) EventReader {
	if !a.answerBegun() {
		return events
	}
	return &continuedEvents{EventReader: events}
}

// continuedEvents are the events of the rest of a stream.
type continuedEvents struct {
	EventReader

	// continued is set once there was an event.
	continued bool
}

// Next returns the next event. It fails with errNotContinued if the response ends before the
// first one, so that an empty response does not end the stream.
func (c *continuedEvents) Next() (Event, error) {
	event, err := c.EventReader.Next()
	c.continued = c.continued || event.ID != 0
	if err == nil && event.Last && !c.continued {
		return Event{}, errNotContinued
	}
	return event, err
}
