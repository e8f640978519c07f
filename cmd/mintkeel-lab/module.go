package main

import (
	"mintkeel/internal/lab/reference"
	"mintkeel/internal/lab/steps"
	"mintkeel/router"
)

// newModule creates the decision module.
func newModule(seed int64, identity router.Identity, kinds []router.MachineKind,
	classes []router.QueryClass, tenants []router.Tenant, capabilities router.Capabilities,
	limits router.SafetyLimits) steps.Module {
	return router.New(seed, identity, kinds, classes, tenants, capabilities, limits)
}

// newReference creates the former version of the decision module, the baseline of comparisons.
func newReference(seed int64, identity router.Identity, kinds []router.MachineKind,
	classes []router.QueryClass, tenants []router.Tenant, capabilities router.Capabilities,
	limits router.SafetyLimits) steps.Module {
	return reference.New(seed, identity, kinds, classes, tenants, capabilities, limits)
}
