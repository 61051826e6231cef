package main

import (
	"fmt"
	"io"
	"net/http"
)

// invalidHeads are heads, up to their framing, that are none in HTTP: they name the request and have a signature.
var invalidHeads = []string{
	"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nBad Name: v\r\n",
	"HTTP/1.1 200 X\r\nBad : v\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\n",
	"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nTransfer Encoding: chunked\r\n",
	"HTTP/1.1 103 X\r\nBad\x00: v\r\n\r\nHTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\n",
	"HTTP/1.1 000 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\n",
}

// writeInvalidAnswer writes an answer that no caller may get.
func writeInvalidAnswer(w io.Writer, form int, id, signature, contentType, body string) error {
	head := fmt.Sprintf(invalidHeads[form%len(invalidHeads)], id, signature)
	_, err := fmt.Fprintf(w, "%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", head, contentType, len(body), body)
	return err
}

// breakAnswer ends the connection of a request that ran, every second time behind an answer that no caller may get.
func breakAnswer(w http.ResponseWriter, id string, number int) {
	if number%2 == 0 {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	must(err)
	// The error is ignored: the client may have disconnected.
	_ = writeInvalidAnswer(conn, number/2, id, "soak", "text/plain", "invalid answer")
	_ = conn.Close()
}
