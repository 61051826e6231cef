package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that are taken for one another because their fields run together.
func TestRequestsDifferInEachField(t *testing.T) {
	content := RequestContent("school", "GET", "h", "/a", []byte("body"))
	assert.True(t, IsRequest(content))
	assert.LessOrEqual(t, len(content), maxContentBytes)
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

// Guards against callers that name a prompt part like another caller's request.
func TestPromptPartsAreNoRequests(t *testing.T) {
	request := RequestContent("school", "GET", "h", "/a", nil)
	contents := Contents(request, []string{request, "service:desk", "", "plain"})
	assert.Equal(t, request, contents[0])
	assert.NotContains(t, contents[1:], request)
	assert.Len(t, contents, 4, "an empty part is none")
	for _, content := range contents {
		assert.False(t, isAnyRequest(content))
		assert.LessOrEqual(t, len(content), maxContentBytes)
	}
	assert.Equal(t, "plain", contents[3])
}
