package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"mintkeel/internal/operator"
)

// configSources are the paths of the files that configure a controller.
type configSources struct {
	configPath   string // the platform's configuration, JSON
	operatorPath string // the operator's file, HCL; empty: none
}

// addFlags adds the flags for the paths. Environment variables give their defaults.
func (s *configSources) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&s.configPath, "config", os.Getenv("PROXY_CONFIG"),
		"`file` with the platform's configuration, as JSON (PROXY_CONFIG)")
	c.Flags().StringVar(&s.operatorPath, "operator", os.Getenv("MINTKEEL_OPERATOR"),
		"`file` with the operator's own settings, as HCL (MINTKEEL_OPERATOR); none: all blocks off")
}

// read reads both files.
func (s *configSources) read() (*controllerConfig, *operator.File, error) {
	if s.configPath == "" {
		return nil, nil, fmt.Errorf("no configuration: set --config or PROXY_CONFIG")
	}
	config, err := readControllerConfig(s.configPath)
	if err != nil {
		return nil, nil, err
	}
	file, err := operator.Read(s.operatorPath, config.facts)
	return config, file, err
}
