package forward

import (
	"errors"
	"fmt"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/telemetry"
)

// serverLog writes the HTTP server's messages about connections as structured log lines.
type serverLog struct {
	log     zerolog.Logger
	metrics *telemetry.Registry
}

// Printf implements fasthttp.Logger. The library turns a panic while it writes a body into an
// error of the connection, which is reported nowhere else.
func (l serverLog) Printf(format string, args ...any) {
	line, event := l.log.Info(), "caller_connection_failed"
	if lo.SomeBy(args, isPanic) {
		line, event = l.log.Error(), "answer_panicked"
	}
	l.metrics.Add(event, 1)
	line.Str("detail", fmt.Sprintf(format, args...)).Msg(event)
}

func isPanic(arg any) bool {
	err, ok := arg.(error)
	var panicked *fasthttp.ErrBodyStreamWritePanic
	return ok && errors.As(err, &panicked)
}
