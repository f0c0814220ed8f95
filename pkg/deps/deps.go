//go:build deps

// Package deps lists the libraries of this module.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/go-faster/errors"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/ratelimit"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/shoenig/test"
	_ "github.com/shoenig/test/must"
	_ "github.com/tailscale/hujson"
	_ "github.com/ugorji/go/codec"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
