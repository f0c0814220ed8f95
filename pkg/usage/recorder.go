package usage

// Recorder counts the usage of requests.
type Recorder interface {
	// Record counts one request.
	Record(record Record)
}
