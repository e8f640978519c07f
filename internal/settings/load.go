package settings

import "mintkeel/router"

// UnknownLoad returns a load report in which every value is -1, which stands for unknown.
func UnknownLoad() *router.LoadReport {
	return &router.LoadReport{Inflight: -1, Utilization: -1, Memory: -1, Disk: -1}
}

// SetLoadField sets a value of a load report by its name on the wires of engines and discovery.
// Values that no decision uses are ignored.
func SetLoadField(load *router.LoadReport, name string, value float64) {
	switch name {
	case "inflight":
		load.Inflight = value
	case "util":
		load.Utilization = value
	case "x0":
		load.Memory = value
	case "x1":
		load.Disk = value
	}
}
