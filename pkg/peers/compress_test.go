package peers

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/encoding"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// fullUpdate encodes the first update over a link to an entry.
func fullUpdate(b *testing.B, upstreams int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	u := &peerpb.FleetUpdate{Full: true}
	for i := range upstreams {
		u.Upstreams = append(u.Upstreams, &peerpb.UpstreamRecord{
			Id: fmt.Sprintf("i-%010x", random.Uint64N(1<<40)), Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:8080", i/200, i%200), FailureDomain: "a", Sequence: random.Uint64N(500),
		})
	}
	message, err := proto.Marshal(u)
	require.NoError(b, err)
	return message
}

// BenchmarkUpdateCompression measures what the compression of an update costs a keeper.
func BenchmarkUpdateCompression(b *testing.B) {
	for _, upstreams := range []int{2, 174} {
		b.Run(fmt.Sprint(upstreams, " upstreams"), func(b *testing.B) {
			message, compressor := fullUpdate(b, upstreams), encoding.GetCompressor(grpcgzip.Name)
			var out bytes.Buffer
			for range b.N {
				out.Reset()
				w, err := compressor.Compress(&out)
				require.NoError(b, err)
				_, err = w.Write(message)
				require.NoError(b, err)
				require.NoError(b, w.Close())
			}
			b.ReportMetric(float64(out.Len())/float64(len(message)), "ratio")
		})
	}
}
