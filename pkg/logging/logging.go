// Package logging writes events as lines of key=value pairs.
package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// leadingKeys come first on every line, in this order.
var leadingKeys = []string{"time", "level", "event", "node", "request_id"}

// New returns a logger that writes key=value lines to w.
func New(w io.Writer, level, nodeID string) (zerolog.Logger, error) {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", level, err)
	}
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(&lineWriter{out: w}).Level(lvl).With().Timestamp().Str("node", nodeID).Logger(), nil
}

type lineWriter struct{ out io.Writer }

// Write converts one JSON event to one line of key=value pairs.
func (l *lineWriter) Write(p []byte) (int, error) {
	fields := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		return 0, fmt.Errorf("decode log event: %w", err)
	}
	var b strings.Builder
	for _, key := range leadingKeys {
		if v, ok := fields[key]; ok {
			writePair(&b, key, v)
			delete(fields, key)
		}
	}
	rest := make([]string, 0, len(fields))
	for key := range fields {
		rest = append(rest, key)
	}
	sort.Strings(rest)
	for _, key := range rest {
		writePair(&b, key, fields[key])
	}
	b.WriteByte('\n')
	if _, err := io.WriteString(l.out, b.String()); err != nil {
		return 0, fmt.Errorf("write log line: %w", err)
	}
	return len(p), nil
}

func writePair(b *strings.Builder, key string, value any) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(key)
	b.WriteByte('=')
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\t\r") {
		text = strconv.Quote(text)
	}
	b.WriteString(text)
}
