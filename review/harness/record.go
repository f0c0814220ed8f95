package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with seconds since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// now returns the seconds since the start.
func (r *record) now() float64 { return time.Since(r.began).Seconds() }

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format, values...)
	_ = r.out.WriteByte('\n')
}

// say also prints the line.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f  %s\n", r.now(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
