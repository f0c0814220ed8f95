package usage

// Recorder takes the record of each request.
type Recorder interface {
	// Record counts one request.
	Record(record Record)
}
