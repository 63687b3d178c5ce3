package request

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLargestUnfinishedRequestIsGivenUpFirst(t *testing.T) {
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	for name, v := range map[string]struct {
		want string
		held map[string]holding
	}{
		"nothing is held": {"", nil},
		"the largest":     {"b", map[string]holding{"a": {phaseBody, 20_000, early}, "b": {phaseBody, 30_000, late}}},
		"headers too":     {"b", map[string]holding{"a": {phaseBody, 20_000, early}, "b": {phaseHeaders, 30_000, late}}},
		"the oldest of equals": {"a", map[string]holding{
			"a": {phaseBody, 20_000, early}, "b": {phaseBody, 20_000, late}, "c": {phaseBody, 20_000, late},
		}},
		"none that is complete": {"a", map[string]holding{"a": {phaseBody, 10_000, late}, "b": {phaseComplete, 90_000, early}}},
		"none that is idle":     {"", map[string]holding{"a": {phaseIdle, 0, early}}},
		"none that is small":    {"", map[string]holding{"a": {phaseBody, freeBytes, early}}},
	} {
		t.Run(name, func(t *testing.T) {
			got, found := chooseEvicted(maps.All(v.held))
			require.Equal(t, v.want, got)
			require.Equal(t, v.want != "", found)
		})
	}
}

func TestMemoryOfHeadersGrowsWithTheirNumber(t *testing.T) {
	few := "GET / HTTP/1.1\r\nHost: " + strings.Repeat("h", 96) + "\r\n\r\n"
	many := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 24) + "\r\n"
	require.Greater(t, headerMemory([]byte(many)), 8*headerMemory([]byte(few)))
	require.EqualValues(t, headerMemory([]byte(few))+100, headerMemory([]byte(few+strings.Repeat("\n", 100))), "a body has no headers")
}
