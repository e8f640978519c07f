package settings

import "mintkeel/router"

// UnknownLoad returns a load report without any value: -1 stands for a value that is not known.
func UnknownLoad() *router.LoadReport {
	return &router.LoadReport{Inflight: -1, Utilization: -1, Memory: -1, Disk: -1}
}

// SetLoadField sets a value of a load report by the name that engines and discovery use. Names that
// no decision uses are ignored.
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
