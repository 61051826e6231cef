package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that are taken for one another because their fields run together.
func TestRequestsDifferInEachField(t *testing.T) {
	content := RequestContent("school", "GET", "h", "/a", []byte("body"))
	assert.True(t, IsRequest(content))
	assert.LessOrEqual(t, len(content), maxPartBytes)
	assert.Equal(t, content, RequestContent("school", "GET", "h", "/a", []byte("body")))
	for _, other := range []string{
		RequestContent("club", "GET", "h", "/a", []byte("body")),
		RequestContent("school", "PUT", "h", "/a", []byte("body")),
		RequestContent("school", "GET", "i", "/a", []byte("body")),
		RequestContent("school", "GET", "h", "/ab", []byte("ody")),
		RequestContent("school", "GET", "h/", "a", []byte("body")),
		RequestContent("schoolGET", "", "h", "/a", []byte("body")),
		RequestContent("school", "GET", "h", "/a", nil),
	} {
		assert.NotEqual(t, content, other)
	}
}
