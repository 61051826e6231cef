package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// oddInterval is the time between two odd announcements.
const oddInterval = 150 * time.Millisecond

// oddWriter sends announcements that no sound upstream makes, under the identifiers and addresses of upstreams in
// use and others. All must be refused, and the upstreams stay in use.
type oddWriter struct {
	region  *region
	service *plainService
	// accepted describes the announcements that were acknowledged.
	accepted []string
}

// run sends odd announcements until a time.
func (w *oddWriter) run(seed uint64, until time.Time) {
	random := randomSource(seed, "odd writer")
	client := &http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(until); i++ {
		u := w.service.upstreams[i%deskCount]
		id, body := u.instance(), u.oddAnnouncement(random.IntN(oddKinds))
		if random.IntN(2) == 0 {
			id = fmt.Sprintf("odd-%d", i)
		}
		keeper := w.region.keepers[random.IntN(keeperCount)]
		if post(client, keeper, "instances/"+id+"/heartbeat", []byte(body)) {
			w.accepted = append(w.accepted, fmt.Sprintf("%s acknowledged an odd announcement: %.200s", keeper.name, body))
		}
		time.Sleep(oddInterval)
	}
}

// oddKinds is the number of kinds of odd announcements.
const oddKinds = 9

// oddAnnouncement returns an announcement of a kind that has one odd value, and a later start than the upstream's own.
func (u *upstream) oddAnnouncement(kind int) string {
	const later = 1000
	service, address, slots, seq, born := u.service.name, u.addr, "50", "1", fmt.Sprint(time.Now().UnixMilli()+later)
	other := "1"
	switch kind {
	case 0:
		other = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	case 1:
		address = "127.0.0.1:65536"
	case 2:
		address = "127.0.0.1:0"
	case 3:
		address = "0.0.0.0:80"
	case 4:
		slots = "9223372036854775807"
	case 5:
		seq = "18446744073709551615"
	case 6:
		born = "18446744073709551615"
	case 7:
		service = strings.Repeat("x", 1<<20)
	default:
		slots = "1e400"
	}
	return fmt.Sprintf(`{"service":"%s","address":"%s","zone":"zone-0","slots":%s,"state":"ready","seq":%s,"born":%s,"other":%s}`, service, address, slots, seq, born, other)
}
