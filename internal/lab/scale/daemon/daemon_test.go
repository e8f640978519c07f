package daemon

import "testing"

func TestProcessFiles(t *testing.T) {
	if s, err := parseProcessorTime("3000000000 2445019 13\n"); err != nil || s != 3 {
		t.Error(s, err)
	}
	if _, err := parseProcessorTime("7 (a)"); err == nil {
		t.Error("schedstat with two fields returns no error")
	}
	if mb, err := parseResident("Name:\ta\nVmHWM:\t 9 kB\nVmRSS:\t  2048 kB\n"); err != nil || mb != 2 {
		t.Error(mb, err)
	}
	if _, err := parseResident("Name:\ta\n"); err == nil {
		t.Error("status without VmRSS returns no error")
	}
}
