package main

import (
	"strings"
	"testing"
)

func TestBadConfiguration(t *testing.T) {
	for _, c := range []struct{ from, to, says string }{
		{"", "", ""},
		{`"127.0.0.1:0"`, `"here"`, "field listen"},
		{`"%DISCOVERY%"`, `""`, "field bulletin"},
		{`"8c1f`, `"x`, "field seed"},
		{`"cores":1.0`, `"cores":0`, "field limits.cores"},
		{`192`, `1`, "field limits.memory_mb"},
		{`192`, `"much"`, "field limits.memory_mb"},
		{`1024`, `3`, "field limits.sockets"},
		{`"active"`, `"fine"`, "field known.items.0.roster.hosts.0.health"},
		{`"round_ns":5000000`, `"round_ns":"soon"`, "field round_ns"},
		{`"free"`, `"what"`, "field services.0.effect"},
		{`[16]`, `["x"]`, "field family_info.size_cores"},
		{`"settings"`, `"none"`, "field settings"},
		{`"name"`, `name`, "configuration"},
	} {
		text := strings.NewReplacer("%DISCOVERY%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(
			strings.Replace(validConfig, c.from, c.to, 1))
		if c.from == `"%DISCOVERY%"` {
			text = strings.Replace(validConfig, c.from, c.to, 1)
		}
		if _, err := parseControllerConfig([]byte(text)); (err == nil) != (c.says == "") ||
			err != nil && !strings.Contains(err.Error(), c.says) {
			t.Errorf("configuration with %s: error %v, want one that names the field", c.to, err)
		}
	}
}
