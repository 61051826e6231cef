package peers

import (
	"compress/gzip"

	"google.golang.org/grpc"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
)

// init selects the fastest compression. Keepers compress an update for each link.
func init() {
	if err := grpcgzip.SetLevel(gzip.BestSpeed); err != nil {
		panic("peers: " + err.Error())
	}
}

// Compressed enables compression in both directions of a call. It reduces streams that
// send the same records and counts to many nodes to about half their size; traffic
// between failure domains is expensive.
func Compressed() grpc.CallOption { return grpc.UseCompressor(grpcgzip.Name) }
