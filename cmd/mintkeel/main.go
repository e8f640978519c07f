// Command mintkeel is one controller of the gateway: it takes clients' commands on a socket, has the decision module
// say what runs where, and answers.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		usage()
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "serve":
		err = serve(os.Args[2:])
	case "check":
		err = check(os.Args[2:])
	case "version":
		err = version(os.Args[2:])
	default:
		usage()
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mintkeel:", err)
		os.Exit(1)
	}
}

func usage() {
	fmt.Fprint(os.Stderr, `usage: mintkeel COMMAND [flags]

  serve     run a controller until SIGTERM
  check     read a configuration and tell what is wrong with it
  version   print what was built

Each command takes -h.
`)
}
