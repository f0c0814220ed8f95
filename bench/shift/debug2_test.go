package shift

import (
	"strconv"
	"time"
)

func secs(s int) time.Duration { return time.Duration(s) * time.Second }
func itoa(i int) string        { return strconv.Itoa(i) }
